"""Commands of the daisystack command line."""

from __future__ import annotations

import inspect
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import attrs
import typer

from daisystack.core.addresses import parse_address
from daisystack.core.load_table import LoadGroup
from daisystack.core.settings import (
    AgentSettings,
    EntrySettings,
    SettingsRefused,
    env_name,
    flag_name,
    read_settings,
)
from daisystack.core.validation import DocumentRefused, read_document
from daisystack.standins.cli import app as standins_app

__all__ = ["app"]

EXIT_REFUSED = 2

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help="Distribute weights to a fleet and route requests to it.",
)
app.add_typer(standins_app, name="standins", help="Run stand-ins for the platform.")


def _print_refusal(refused: ExceptionGroup) -> None:
    print(refused.message, file=sys.stderr)
    for error in refused.exceptions:
        print(f"  {error}", file=sys.stderr)


def _settings_command(settings_class: type, run: Callable[[object], None]) -> Callable[..., None]:
    """Return a command whose flags are the fields of a settings class."""

    def command(**values: str | None) -> None:
        try:
            settings = read_settings(settings_class, values)
        except SettingsRefused as refused:
            _print_refusal(refused)
            raise typer.Exit(EXIT_REFUSED) from None
        run(settings)

    # All flags are strings here, so that read_settings reports all faults at once.
    command.__signature__ = inspect.Signature(
        [
            inspect.Parameter(
                setting.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=Annotated[
                    str | None,
                    typer.Option(
                        flag_name(setting.name),
                        envvar=env_name(setting.name),
                        help=_help_text(setting),
                        metavar="VALUE",
                    ),
                ],
            )
            for setting in attrs.fields(settings_class)
        ]
    )
    command.__doc__ = f"Run the daemon with these {settings_class.__name__}."
    return command


def _help_text(setting: attrs.Attribute) -> str:
    if setting.default is attrs.NOTHING:
        return setting.metadata["help"] + " (required)"
    return f"{setting.metadata['help']} (default {setting.default or 'none'})"


def _run_entry(settings: EntrySettings) -> None:
    from daisystack.runtime.entry import run_entry
    from daisystack.runtime.logs import set_up_logging

    set_up_logging(settings.id)
    run_entry(settings)


def _run_agent(settings: AgentSettings) -> None:
    from daisystack.runtime.agent import run_agent
    from daisystack.runtime.logs import set_up_logging

    set_up_logging(settings.id)
    run_agent(settings)


app.command("entry", help="Run the daemon of an entry instance.")(
    _settings_command(EntrySettings, _run_entry)
)
app.command("agent", help="Run the daemon in an upstream instance's slot.")(
    _settings_command(AgentSettings, _run_agent)
)


@app.command("check")
def check(
    files: Annotated[list[Path], typer.Argument(help="Register and rules documents")],
) -> None:
    """Validate documents as the daemons do; exit with status 2 if one is refused."""
    any_refused = False
    for path in files:
        try:
            document = read_document(path.read_bytes())
        except OSError as error:
            any_refused = True
            print(f"{path}: {error.strerror}", file=sys.stderr)
        except DocumentRefused as refused:
            any_refused = True
            print(f"{path}: ", end="", file=sys.stderr)
            _print_refusal(refused)
        else:
            print(f"{path}: valid, {len(document.register.instances)} instances")
    if any_refused:
        raise typer.Exit(EXIT_REFUSED)


@app.command("explain")
def explain(
    request_id: Annotated[str, typer.Argument(help="Request id that the caller sent")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files of the processes; default standard input")
    ] = None,
) -> None:
    """Show a request's timeline from logs; exit with status 1 if no log line contains its id."""
    from daisystack.explain import explain_request

    try:
        timeline = explain_request(request_id, files or ())
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED) from None
    if not timeline:
        print(f"no log line contains request id {request_id!r}", file=sys.stderr)
        raise typer.Exit(1)
    print("\n".join(timeline))


@app.command("load")
def load(
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files of the entries; default standard input")
    ] = None,
    by: Annotated[LoadGroup, typer.Option(help="Group the requests of a second")] = LoadGroup.ALL,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON")] = False,
) -> None:
    """Count by second who was served, late or refused; exit with status 1 without any request."""
    from daisystack.load import show_load

    try:
        has_requests = show_load(files or (), by, as_json)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED) from None
    if not has_requests:
        print("no log line tells of the end of a request", file=sys.stderr)
        raise typer.Exit(1)


@app.command("status")
def status(
    entry: Annotated[str, typer.Option(envvar="DAISYSTACK_ENTRY", help="ip:port of an entry")],
) -> None:
    """Show every registered instance; exit with status 1 if one does not serve what it should."""
    from daisystack.backends import BackendError
    from daisystack.status import show_status

    try:
        mismatched = show_status(str(parse_address(entry)))
    except ValueError as error:
        print(f"--entry: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED) from None
    except BackendError as error:
        print(f"{entry} does not respond: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED) from None
    if mismatched:
        raise typer.Exit(1)
