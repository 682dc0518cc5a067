org.poplarwharf.internal.cli.NodeCommand
org.poplarwharf.internal.cli.StatusCommand
org.poplarwharf.internal.standin.StandinCommand
