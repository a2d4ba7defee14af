"""Settings that no present deployment uses: the decision module keeps the rules and behaves sensibly."""

from dataclasses import replace

import pytest
from helpers import AgentDriver, entry, kinds, sends, settings

from otterquay import interface as it


def test_discovery_by_ask_subscribes_once_and_again_after_a_failure() -> None:
    driver = AgentDriver(settings(discovery=it.Discovery.ASK))
    assert driver.actions.count(it.Watch(True)) == 1
    for _ in range(30):
        driver.tick()
    assert driver.actions.count(it.Watch(True)) == 1, "an active subscription is not requested again"
    driver.deliver(it.ServerList(it.ListKind.FAILED, 0, ()))
    for _ in range(11):
        driver.tick()
    assert driver.actions.count(it.Watch(True)) == 2


def test_the_old_list_stays_in_use_after_a_failed_one() -> None:
    driver = AgentDriver(servers=2)
    driver.deliver(it.ServerList(it.ListKind.FAILED, 0, ()))
    assert sends(driver.ask()[1])


@pytest.mark.parametrize("tenants", [(), (it.Tenant("a", 5.0, 0.5), it.Tenant("b", 5.0, 0.5))])
def test_with_and_without_tenants(tenants: tuple[it.Tenant, ...]) -> None:
    driver = AgentDriver(settings(tenants=tenants, over_share_worth=0.05))
    assert all(sends(driver.ask(tenant=0)[1]) for _ in range(4))


def test_a_streamed_answer_that_has_begun_is_neither_cancelled_nor_retried() -> None:
    streamed = replace(settings().classes[0], streamed=True)
    driver = AgentDriver(settings(classes=(streamed,)))
    request, actions = driver.ask(budget=500.0)
    (send,) = sends(actions)
    assert driver.deliver(it.Begun(request, 0, send.server, 40.0)) == []
    for _ in range(30):
        assert kinds(driver.tick()) == []
    assert kinds(driver.end(send, it.Status.RESET, over=True)) == []


def test_zero_limits_mean_one_attempt_at_most_and_an_answer() -> None:
    driver = AgentDriver(settings(limits={"max_attempts": 1, "retry_after": False, "max_retry_after_ms": 0.0}))
    request, actions = driver.ask()
    assert driver.end(sends(actions)[0], it.Status.FULL) == [it.Refuse(request, 0.0)]


def test_a_single_cold_server_gets_few_requests_and_the_rest_are_refused_or_failed() -> None:
    driver = AgentDriver(servers=0)
    driver.update_list(entry(1, started=driver.now))
    asked = [driver.ask()[0] for _ in range(20)]
    sent = {s.request for s in sends(driver.actions)}
    assert sent
    for _ in range(10):
        driver.tick()
    answered = {a.request for a in driver.actions if isinstance(a, it.Refuse | it.Fail)}
    sent = {s.request for s in sends(driver.actions)}
    assert sent | answered == set(asked) and not sent & answered


@pytest.mark.parametrize("agents", [1, 3])
def test_a_quiet_agent_serves_its_only_server_at_once_after_a_restart(agents: int) -> None:
    """Agents take turns at cold servers only where the fleet would overload them.

    Any server can take a few requests per window.
    """
    driver = AgentDriver(settings(agents=agents), servers=1)
    driver.end(sends(driver.ask()[1])[0])
    for _ in range(120):
        driver.tick(500.0)
    driver.update_list(entry(1, started=driver.now))
    assert sends(driver.ask()[1])


def test_unsolicited_events_are_ignored() -> None:
    driver = AgentDriver()
    assert driver.deliver(it.ProbeResult(1, it.Status.OK, 1.0, ())) == []
    assert driver.deliver(it.Outcome(9999, 1, 0, it.Status.OK, 5.0, True, ())) == []
    assert driver.deliver(it.Abandoned(9999)) == []
    assert driver.deliver(it.Complaint(0, 9999, 5.0)) == []
