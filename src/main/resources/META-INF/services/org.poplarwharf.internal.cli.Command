org.poplarwharf.internal.cli.NodeCommand
org.poplarwharf.internal.cli.StatusCommand
org.poplarwharf.internal.cli.ConfigCommand
org.poplarwharf.internal.standin.StandinCommand
org.poplarwharf.internal.cli.QuickstartCommand
org.poplarwharf.internal.cli.ProbeCommand
org.poplarwharf.internal.cli.LoadCommand
org.poplarwharf.internal.cli.ExperimentCommand
