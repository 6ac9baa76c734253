"""Parts of the load generator: settings, arrivals, fair shares and percentiles."""

import random

import pytest
from wasabideck_base.command_line import commands, run_commands
from wasabideck_entry.entry_settings import load_entry_settings
from wasabideck_lab.load_report import fair_shares, jains_index, percentiles
from wasabideck_lab.load_workload import DEPLOYMENTS, draw_arrivals
from wasabideck_lab.toml_writer import to_toml


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_entry_settings_of_a_deployment_are_valid(name, tmp_path):
    # Guards against stricter checks of settings that reject the settings written by the
    # load generator: its entries would not start, which otherwise only a run shows.
    deployment = DEPLOYMENTS[name]
    platform = dict.fromkeys(("table", "members", "weights"), "http://127.0.0.1:1")
    for region in deployment.regions:
        process = {"vm": "entry-0", "region": region, "data_centre": f"{region}-1"}
        settings = {"plain_text": True, "process": process, "platform": platform}
        file = tmp_path / "entry.toml"
        file.write_text(to_toml(settings | {"services": deployment.services()}))
        assert load_entry_settings(file).services


def test_arrivals_have_the_burst_rate_and_all_organisations():
    deployment = DEPLOYMENTS["rent"]
    found = list(draw_arrivals(deployment, 3.0, 60.0, random.Random(1)))
    assert len(found) == pytest.approx(3.0 * 60 * deployment.request_rate(), rel=0.05)
    assert len({a.organisation for a in found}) == 10


def test_fair_share_does_not_exceed_demand():
    shares = fair_shares(10.0, {"small": 2.0, "large": 30.0, "other": 6.0})
    assert shares == {"small": 2.0, "other": 4.0, "large": 4.0}
    assert jains_index([1.0, 1.0]) == pytest.approx(1.0)


def test_percentiles_are_in_milliseconds():
    found = percentiles([0.1] * 99 + [2.0])
    assert found["p50"] == pytest.approx(100, rel=0.01)
    assert found["n"] == 100


def test_a_static_method_runs_as_a_command(capsys):
    # Guards against a static command such as ``load`` that runs while the command line
    # is still being parsed, discards its result, and is then reported as missing.
    @commands
    class Group:
        @staticmethod
        def show(text: str = "nothing") -> None:
            """Print a text."""
            print(text)

    run_commands(Group(), "group", ["show", "--text", "well"])
    assert capsys.readouterr().out == "well\n"
