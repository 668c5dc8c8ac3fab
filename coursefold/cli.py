"""The command line: runs the service, checks files, and is a client for users and operators.

The docstrings of commands are their help texts. Errors go to standard error; the exit code is 1
for a failed request and 2 for an invalid file or argument. Modules that only some commands need
are imported in functions, so that the other commands start without them.
"""

import logging
import os
import sys
from datetime import datetime
from pathlib import Path
from typing import Any, NoReturn, TextIO

import click

from coursefold import __version__
from coursefold.settings import Settings, SettingsError, load, split_address

UNTIL_TIME_FORMATS = ("%Y-%m-%d %H:%M", "%Y-%m-%dT%H:%M", "%Y-%m-%d %H:%M:%S", "%Y-%m-%d")
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
POLICY_VARIABLE = "COURSEFOLD_POLICY"
CELLS_VARIABLE = "COURSEFOLD_CELLS"
SHARES_VARIABLE = "COURSEFOLD_SHARES"
FILE_PATH = click.Path(path_type=Path)


def _fail(message: object, code: int) -> NoReturn:
    """Print an error to standard error and exit with `code`."""
    print(f"coursefold: {message}", file=sys.stderr)
    raise SystemExit(code)


def _load_settings(path: Path) -> Settings:
    try:
        return load(path)
    except SettingsError as error:
        _fail(error, 2)


def _load_policy(path: Path) -> Any:
    from coursefold.policy.language import PolicyError  # loads lark
    from coursefold.policy.language import load as load_policy

    try:
        return load_policy(path)
    except PolicyError as error:
        _fail(error, 2)


def _load_cells(path: Path, settings: Settings) -> Any:
    from coursefold.cells.config import load_cells  # loads netaddr

    try:
        return load_cells(path, settings)
    except SettingsError as error:
        _fail(error, 2)


def _load_shares(path: Path, settings: Settings) -> Any:
    from coursefold.shares.config import load_shares  # loads zoneinfo

    try:
        return load_shares(path, settings)
    except SettingsError as error:
        _fail(error, 2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="coursefold")
def main() -> None:
    """A cluster scheduler with a queue-sized fleet."""


@main.command()
@click.option("--config", required=True, type=FILE_PATH, help="Settings (TOML).")
@click.option("--policy", type=FILE_PATH, envvar=POLICY_VARIABLE, help="Operators' policy.")
@click.option("--cells", type=FILE_PATH, envvar=CELLS_VARIABLE, help="Other cells (TOML).")
@click.option("--shares", type=FILE_PATH, envvar=SHARES_VARIABLE, help="Shares (TOML).")
def serve(config: Path, policy: Path | None, cells: Path | None, shares: Path | None) -> None:
    """Run a controller until it is killed."""
    settings = _load_settings(config)
    checked_policy = _load_policy(policy) if policy is not None else None
    other_cells = _load_cells(cells, settings) if cells is not None else None
    machine_shares = _load_shares(shares, settings) if shares is not None else None
    level = os.environ.get("LOG_LEVEL", "info")
    logging.basicConfig(
        level=LOG_LEVELS.get(level, logging.INFO),
        stream=sys.stderr,
        format="%(levelname)s %(name)s: %(message)s",
    )
    from coursefold.service import run  # loads tornado

    run(settings, checked_policy, other_cells, machine_shares)


@main.command("check-config")
@click.argument("config", type=FILE_PATH)
def check_config(config: Path) -> None:
    """Check a settings file; exit code 2 names the first fault."""
    settings = _load_settings(config)
    click.echo(f"{config}: ok, {settings.member} with {len(settings.siblings)} siblings")


@main.command("check-cells")
@click.argument("cells", type=FILE_PATH)
@click.option("--config", required=True, type=FILE_PATH, help="Settings (TOML).")
def check_cells(cells: Path, config: Path) -> None:
    """Check a file of cells against a controller's settings; exit code 2 names the first fault."""
    checked = _load_cells(cells, _load_settings(config))
    names = ", ".join(entry.name for entry in checked.other_cells) or "none"
    click.echo(f"{cells}: ok, cell {checked.cell}, others: {names}")
    click.echo(f"  grants of {checked.grant_s:g} s")


@main.command("check-policy")
@click.argument("policy", type=FILE_PATH)
def check_policy(policy: Path) -> None:
    """Check a policy file; exit code 2 names line, column and fault."""
    checked = _load_policy(policy)
    click.echo(f"{policy}: ok, {len(checked.rules)} rules")
    for name, value in checked.parameters._asdict().items():
        click.echo(f"  {name} = {value:g}")


def _validate_address(ctx: click.Context, param: click.Parameter, value: str) -> str:
    try:
        split_address(value)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    return value


node_option = click.option(
    "--node",
    default="127.0.0.1:8080",
    show_default=True,
    callback=_validate_address,
    help="Controller or load balancer, HOST:PORT.",
)


def _send_request(
    node: str, method: str, path: str, body: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Send a request and return the response body; end the command if the request fails."""
    from coursefold.client import RequestError, send_request

    try:
        return send_request(node, method, path, body)
    except RequestError as error:
        _fail(error, 1)


def _fetch_health(node: str) -> dict[str, Any]:
    """Return the body of a controller's /healthz; end the command if it does not respond."""
    from coursefold.client import RequestError, fetch_health

    try:
        return fetch_health(node)
    except RequestError as error:
        _fail(error, 1)


def _print_job(response: dict[str, Any]) -> None:
    line = f"{response.get('NameId')}: {response.get('Status')}"
    if "done" in response:
        line += f", {response['done']} done, {response['running']} running"
    click.echo(line)
    if response.get("why"):
        click.echo(f"  {response['why']}")


@main.command()
@node_option
def status(node: str) -> None:
    """Show a controller's version, who leads, and which controllers run older versions."""
    response = _fetch_health(node)
    click.echo(f"{node}: {'healthy' if response.get('ok') else 'not healthy'}")
    if "version" not in response:
        click.echo("  version 0.1, which does not say more")
        return
    click.echo(f"  version {response['version']}")
    click.echo(
        f"  leader {response['leader'] or 'unknown'}, members {', '.join(response['members'])}"
    )
    if response["switched"]:
        click.echo("  every controller has this version; an older one can not come back")
    elif response["older"] is not None:
        older = ", ".join(response["older"]) or "none"
        click.echo(f"  without this version: {older}; jobs with prerequisites have to wait")


@main.command()
@node_option
@click.option("--jobs", is_flag=True, help="List the jobs that are away, and the guests.")
@click.option("--decisions", is_flag=True, help="List the leader's last decisions.")
def cells(node: str, jobs: bool, decisions: bool) -> None:
    """Show the other cells: reachability, jobs away and guests here, waits. Ask the leader."""
    response = _fetch_health(node)
    cells_status = response.get("cells")
    if cells_status is None:
        click.echo(f"{node}: no cells; it was started without a file of them")
        return
    draining = ", draining" if cells_status["draining"] else ""
    click.echo(
        f"{node}: cell {cells_status['cell']}{draining}, {_format_waits(cells_status['waits'])}"
    )
    if not cells_status["on"]:
        click.echo(f"  not in charge: ask the leader, {response.get('leader') or 'unknown'}")
        return
    _print_cells(cells_status)
    for job in cells_status["moved"] if jobs else ():
        click.echo(f"  {job['job']}: {job['where']}, {job['stage']} for {job['for_s']:g} s")
    for decision in cells_status["decisions"] if decisions else ():
        at = datetime.fromtimestamp(decision["at"]).strftime("%H:%M:%S")
        click.echo(f"  {at} {decision['line']}")


def _print_cells(cells_status: dict[str, Any]) -> None:
    for other in cells_status["others"]:
        reachability = "reachable" if other["reachable"] else "not reachable"
        heard = "never heard" if other["heard_s"] is None else f"heard {other['heard_s']:g} s ago"
        click.echo(
            f"  {other['cell']}: {reachability}, {heard}, leader {other['leader'] or 'unknown'}"
        )
        click.echo(
            f"    {other['offered']} offered, {other['away']} of our jobs there, "
            f"{other['guests']} guests of it here, {other['free_slots']:g} slots free for us"
        )
        if other["waits"]:
            click.echo(f"    {_format_waits(other['waits'])}")
    for side in ("home", "guest"):
        counts = ", ".join(
            f"{count} {outcome}" for outcome, count in sorted(cells_status[side].items())
        )
        click.echo(f"  as {side}: {counts or 'nothing yet'}")


def _format_waits(waits: dict[str, Any]) -> str:
    count = waits.get("total", waits.get("jobs", 0))  # `jobs` from versions without machine shares
    if not count:
        return "no job has waited yet"
    return (
        f"waits of {count} jobs: median {waits['median']:.1f} s, "
        f"90% {waits['p90']:.1f} s, 99% {waits['p99']:.1f} s"
    )


@main.command("check-shares")
@click.argument("shares", type=FILE_PATH)
@click.option("--config", required=True, type=FILE_PATH, help="Settings (TOML).")
def check_shares(shares: Path, config: Path) -> None:
    """Check a file of shares against a controller's settings; exit code 2 names the first fault."""
    file = _load_shares(shares, _load_settings(config)).file
    click.echo(f"{shares}: ok, {len(file.shares)} shares, {len(file.windows)} windows")
    click.echo(f"  times of day in {file.timezone}, holidays of {file.holidays or 'no country'}")


@main.group("shares", invoke_without_command=True)
@node_option
@click.pass_context
def shares_group(ctx: click.Context, node: str) -> None:
    """Show machines by controller, what they are to be, and moves. Ask the leader."""
    if ctx.invoked_subcommand is not None:
        return
    response = _fetch_health(node)
    shares_status = response.get("shares")
    if shares_status is None:
        click.echo(f"{node}: no shares; it was started without a file of them")
        return
    if not shares_status["on"]:
        click.echo(f"{node}: not every controller has a file of shares yet")
        return
    click.echo(f"{node}: shares of {shares_status['window'] or 'the usual times'}")
    if not shares_status["leads"]:
        click.echo(f"  not in charge: ask the leader, {response.get('leader') or 'unknown'}")
    _print_shares(shares_status)


def _print_shares(shares_status: dict[str, Any]) -> None:
    for scope in shares_status["scopes"]:
        where = f" in {scope['zone']}" if scope["zone"] else ""
        click.echo(f"  {scope['type']}{where}:")
        for row in scope["controllers"]:
            target = "no share" if row["target"] is None else f"share {row['target']}"
            unshown = f", {row['unshown']} not shown yet" if row["unshown"] else ""
            why = f" ({row['why']})" if row["why"] else ""
            click.echo(f"    {row['controller']}: {row['owned']} owned, {target}{unshown}{why}")
    for move in shares_status["moves"]:
        waits = f", waits: {move['waits']}" if move["waits"] else ""
        click.echo(
            f"  move {move['epoch']}: {move['machine']} from {move['from']} to {move['to']} "
            f"for {move['for_s']:g} s, by {move['why']}, {move['mode']}{waits}"
        )
    for request in shares_status["requests"]:
        click.echo(f"  request {request['RequestId']}: {_format_request(request)}")
    outcomes = ", ".join(
        f"{count} {outcome}" for outcome, count in sorted(shares_status["outcomes"].items())
    )
    click.echo(f"  moves of this leader: {outcomes or 'none yet'}")
    for stage, duration in shares_status["durations"].items():
        if duration["total"]:
            click.echo(
                f"  until {stage}: {duration['total']} moves, median {duration['median']:.1f} s, "
                f"90% {duration['p90']:.1f} s, 99% {duration['p99']:.1f} s"
            )


def _format_request(request: dict[str, Any]) -> str:
    until = datetime.fromtimestamp(request["Until"]).strftime("%Y-%m-%d %H:%M")
    withdrawn = ", withdrawn" if request["Withdrawn"] else ""
    return (
        f"{request['Count']} of {request['Type']} from {request['From']} (then "
        f"{request['FromCount']}) to {request['To']} (then {request['ToCount']}), "
        f"until {until}{withdrawn}"
    )


@shares_group.command("move")
@node_option
@click.option("--from", "source", required=True, help="The controller that gives machines.")
@click.option("--to", "target", required=True, help="The controller that gets them.")
@click.option("--type", "machine_type", required=True, help="The machine type.")
@click.option("--zone", default="", help="Only machines of this zone.")
@click.option("--count", required=True, type=click.IntRange(min=1), help="How many.")
@click.option("--mode", type=click.Choice(["finish", "drain"]), default="finish", show_default=True)
@click.option(
    "--until",
    required=True,
    type=click.DateTime(UNTIL_TIME_FORMATS),
    help="In force until this local time.",
)
@click.option("--request-id", required=True, help="The same again is the same request.")
def move_shares(
    node: str,
    source: str,
    target: str,
    machine_type: str,
    zone: str,
    count: int,
    mode: str,
    until: datetime,
    request_id: str,
) -> None:
    """Have machines moved from one controller to another until a time of day."""
    body = {
        "RequestId": request_id, "From": source, "To": target, "Type": machine_type, "Zone": zone,
        "Count": count, "Mode": mode, "Until": until.timestamp(),
    }  # fmt: skip
    response = _send_request(node, "POST", "/shares/move", body)
    click.echo(f"request {response['RequestId']}: {_format_request(response)}")


@shares_group.command("withdraw")
@node_option
@click.argument("what")
def withdraw_shares(node: str, what: str) -> None:
    """Take back a request by its id, or the moves of an epoch that are not handed over yet."""
    body: dict[str, Any] = {"Epoch": int(what)} if what.isdigit() else {"RequestId": what}
    response = _send_request(node, "POST", "/shares/withdraw", body)
    if "Epoch" in response:
        machines = ", ".join(response["Machines"]) or "no machine"
        click.echo(f"moves of epoch {response['Epoch']} withdrawn: {machines}")
    else:
        click.echo(f"request {response['RequestId']}: {_format_request(response)}")


@main.command()
@click.argument("description", type=FILE_PATH)
@node_option
@click.option("--needs", multiple=True, metavar="JOB", help="A job that has to be done before.")
def submit(description: Path, node: str, needs: tuple[str, ...]) -> None:
    """Submit the job described in a TOML or JSON file (fields as on the wire).

    With `--needs`, named once for each job, it starts when those are done; a job that is
    named has to be accepted before.
    """
    from coursefold.client import JobDescriptionError, read_job_description

    try:
        body = read_job_description(description)
    except JobDescriptionError as error:
        _fail(error, 2)
    if needs:
        body["Prereqs"] = [*(body.get("Prereqs") or []), *needs]
    _print_job(_send_request(node, "POST", "/work", body))


@main.command()
@click.argument("job")
@node_option
def show(job: str, node: str) -> None:
    """Show a job's state."""
    _print_job(_send_request(node, "GET", f"/work/{job}"))


@main.command()
@click.argument("job")
@node_option
def cancel(job: str, node: str) -> None:
    """Cancel a job."""
    _print_job(_send_request(node, "POST", f"/work/{job}/cancel", {}))


@main.command()
@click.argument("job")
@node_option
def explain(job: str, node: str) -> None:
    """Say why a job waits, in plain words."""
    response = _send_request(node, "GET", f"/work/{job}")
    _print_job({key: value for key, value in response.items() if key != "why"})
    why = response.get("why") or response.get("reason")  # version 0.1 sends `reason`
    if why:
        click.echo(f"  {why}")
    elif response.get("Status") == "pending":
        click.echo("  it is about to be placed")


@main.command()
@click.argument("logs", type=click.File(errors="replace"), nargs=-1, required=True)
def accounts(logs: tuple[TextIO, ...]) -> None:
    """Say where time and money went, from debug logs whose lines begin with seconds."""
    from heapq import merge

    from coursefold.accounts import LogReader, format_report, parse_line_time

    reader = LogReader()
    reader.read_lines(merge(*logs, key=parse_line_time))
    for line in format_report(reader):
        click.echo(line)
