"""The load generator's own parts: settings, arrivals and shares."""

import random

import pytest
from wasabideck_base.command_line import commands, run_commands
from wasabideck_entry.entry_settings import load_entry_settings
from wasabideck_lab.load_mix import DEPLOYMENTS, arrivals
from wasabideck_lab.load_report import fair_shares, fairness, percentiles
from wasabideck_lab.toml import to_toml


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_a_deployments_settings_are_in_order(name, tmp_path):
    # The checks of settings became stricter, and the generator's entries no longer
    # started; only a run would have shown it.
    deployment = DEPLOYMENTS[name]
    platform = dict.fromkeys(("table", "members", "weights"), "http://127.0.0.1:1")
    for region in deployment.regions:
        place = {"vm": "entry-0", "region": region, "data_centre": f"{region}-1"}
        settings = {"plain_text": True, "process": place, "platform": platform}
        file = tmp_path / "entry.toml"
        file.write_text(to_toml(settings | {"services": deployment.services()}))
        assert load_entry_settings(file).services


def test_arrivals_come_at_the_burst_and_from_all_organisations():
    deployment = DEPLOYMENTS["rent"]
    found = list(arrivals(deployment, 3.0, 60.0, random.Random(1)))
    assert len(found) == pytest.approx(3.0 * 60 * deployment.rate(), rel=0.05)
    assert len({a.organisation for a in found}) == 10


def test_nobody_is_due_more_than_it_asks_for():
    shares = fair_shares(10.0, {"small": 2.0, "large": 30.0, "other": 6.0})
    assert shares == {"small": 2.0, "other": 4.0, "large": 4.0}
    assert fairness([1.0, 1.0]) == pytest.approx(1.0)


def test_percentiles_are_in_milliseconds():
    found = percentiles([0.1] * 99 + [2.0])
    assert found["p50"] == pytest.approx(100, rel=0.01)
    assert found["n"] == 100


def test_a_command_from_a_module_of_its_own_is_begun_like_any_other(capsys):
    # ``load`` was carried out while the line was still being read, without a word of
    # what it found, and then called a missing command.
    @commands
    class Group:
        @staticmethod
        def told(text: str = "nothing") -> None:
            """Print a text."""
            print(text)

    run_commands(Group(), "group", ["told", "--text", "well"])
    assert capsys.readouterr().out == "well\n"
