org.poplarwharf.internal.cli.NodeCommand
