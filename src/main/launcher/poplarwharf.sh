#!/bin/sh
# Finds a Java runtime of release 21 or later by its "release" file and replaces this shell with it.
# Release 24 and later warn about the MessagePack library's use of sun.misc.Unsafe. They get an option that allows it, so
# that standard error contains only the log.
unsafe_release=24
accept() {
  [ -x "$1/bin/java" ] && [ -r "$1/release" ] || return 1
  while IFS='=' read -r key value; do
    [ "$key" = "JAVA_VERSION" ] || continue
    major=${value#\"}
    major=${major%%[!0-9]*}
    [ -n "$major" ] && [ "$major" -ge 21 ] && return 0
    return 1
  done < "$1/release"
  return 1
}
for home in "$POPLARWHARF_JAVA_HOME" "$JAVA_HOME" /usr/lib/jvm/* /opt/java/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
  [ -n "$home" ] || continue
  if accept "$home"; then
    unsafe=
    [ "$major" -ge "$unsafe_release" ] && unsafe=--sun-misc-unsafe-memory-access=allow
    exec "$home/bin/java" $unsafe -XX:+UseSerialGC -Xshare:auto $POPLARWHARF_JAVA_OPTIONS -jar "$0" "$@"
  fi
done
echo "poplarwharf: needs a Java runtime of release 21 or later; set POPLARWHARF_JAVA_HOME to its folder" >&2
exit 2
