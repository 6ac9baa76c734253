"""Lab commands that are defined in other modules, lower bound and plot of a rollout."""

from wasabideck_base.command_line import commands, run_commands
from wasabideck_lab.plot import draw_svg
from wasabideck_lab.rollout import Plan, lower_bound


def test_a_function_is_recognised_as_a_command(capsys):
    # Guards against ``distribute`` and ``load`` failing with "a command is missing":
    # they are static methods, and only ordinary methods were recognised as commands.
    def repeat(times: "int" = 1) -> None:
        print("again " * times)

    @commands
    class Group:
        again = staticmethod(repeat)

    run_commands(Group(), "lab", ["again", "--times", "2"])
    assert capsys.readouterr().out.strip() == "again again"


def test_lower_bound_is_given_by_the_slowest_link():
    # A copy takes 16 s on the link of a VM, 8 s on the link of the origin, and 32 s on
    # the link between two regions.
    assert lower_bound(Plan(replicas=64)) == 16.0
    assert lower_bound(Plan(replicas=1)) == 16.0
    assert lower_bound(Plan(replicas=64, regions=3)) == 32.0


def test_plot_shows_aborted_runs():
    row = {"replicas": 2, "lower_bound_s": 2.0, "verified": 1}
    finished = {
        "policy": "swarm",
        "curve": [2.1, 2.2],
        "time_to_n_s": 2.2,
        "ratio": 1.1,
    }
    aborted = {"policy": "origin", "curve": [3.0], "time_to_n_s": None, "ratio": None}
    svg = draw_svg([row | finished, row | aborted])
    assert "ratio 1.1" in svg and "1 of 2 when given up" in svg
