"""Entry point of the ``jacinthloom`` command."""

from __future__ import annotations

import sys

from cleo.application import Application

from . import caller_commands, configuration_commands, operator_commands
from .configuration_check_command import ConfigCheckCommand
from .timeline_command import TimelineCommand

VERSION = "0.1.0"

COMMANDS = (
    caller_commands.AskCommand,
    caller_commands.SubmitCommand,
    caller_commands.WaitCommand,
    caller_commands.CancelCommand,
    caller_commands.ExplainCommand,
    ConfigCheckCommand,
    configuration_commands.ConfigPublishCommand,
    configuration_commands.ConfigShowCommand,
    configuration_commands.ConfigDiffCommand,
    configuration_commands.ConfigHistoryCommand,
    operator_commands.KeyGrantCommand,
    operator_commands.KeyWithdrawCommand,
    operator_commands.ZoneOutCommand,
    operator_commands.ZoneInCommand,
    operator_commands.TeamShowCommand,
    operator_commands.WorkerListCommand,
    operator_commands.StatusCommand,
    TimelineCommand,
)
"""Commands in the order in which they are registered."""


def make_application() -> Application:
    """Return the command-line application with all commands."""
    application = Application("jacinthloom", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command-line application and return its exit code."""
    return int(make_application().run())


if __name__ == "__main__":
    sys.exit(main())
