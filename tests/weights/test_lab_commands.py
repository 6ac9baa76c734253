"""The lab's commands that live in modules of their own, and its picture."""

from wasabideck_base.command_line import commands, run_commands
from wasabideck_lab.plot import draw
from wasabideck_lab.rollout import Plan, lower_bound


def test_a_command_that_is_a_function_of_its_own_is_understood(capsys):
    # ``distribute`` and ``load`` answered "a command is missing": only methods were
    # taken for commands, and these are static ones.
    def repeat(times: "int" = 1) -> None:
        print("again " * times)

    @commands
    class Group:
        again = staticmethod(repeat)

    run_commands(Group(), "lab", ["again", "--times", "2"])
    assert capsys.readouterr().out.strip() == "again again"


def test_the_lower_bound_is_the_slowest_of_the_links():
    # A copy takes 16 s on a machine's link, 8 s on the origin's, 32 s between regions.
    assert lower_bound(Plan(replicas=64)) == 16.0
    assert lower_bound(Plan(replicas=1)) == 16.0
    assert lower_bound(Plan(replicas=64, regions=3)) == 32.0


def test_the_picture_shows_runs_that_were_given_up():
    row = {"replicas": 2, "lower_bound_s": 2.0, "verified": 1}
    done = {"policy": "swarm", "curve": [2.1, 2.2], "time_to_n_s": 2.2, "ratio": 1.1}
    given_up = {"policy": "origin", "curve": [3.0], "time_to_n_s": None, "ratio": None}
    svg = draw([row | done, row | given_up])
    assert "ratio 1.1" in svg and "1 of 2 when given up" in svg
