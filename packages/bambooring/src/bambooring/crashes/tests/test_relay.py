"""Test that news of crashes reach each instance through control replicas."""

from bambooring.crashes import causes as causes_module
from bambooring.crashes import const
from bambooring.crashes import messages
from bambooring.crashes import relay as relay_module
from bambooring.crashes import state
from bambooring_core import clock as clock_module
from bambooring_core import codec
from bambooring_core import reactor as reactor_module

CAUSES = causes_module.compute_causes(
    prompt_parts=('deadly', 'own'),
    method='POST',
    request_target='/a',
    account='',
    body=b'',
)


class FakeLink:
    """A link that keeps what is sent, as the other end decodes it."""

    def __init__(self, name):
        self.name = name
        self.sent = []

    def send(self, message):
        """Keep a message."""
        self.sent.append(codec.unpack(codec.pack(message)))


def _make_news():
    return state.CrashLedger().record_crash(
        5, CAUSES, is_group=True, now_s=10.0
    )


def _make_relay(links):
    reactor = reactor_module.Reactor(clock_module.ManualClock())
    return relay_module.CrashRelay(reactor=reactor, get_links=lambda: links)


def test_news_reach_all_but_their_sender_once():
    """Two replicas that pass on to each other don't do so endlessly."""
    links = [FakeLink(name) for name in ('entry1', 'entry2', 'control2')]
    relay = _make_relay(links)
    news = _make_news()
    for _ in range(3):
        relay.handle(links[0], news)
        relay.handle(links[2], news)
    assert [len(link.sent) for link in links] == [0, 1, 1]
    assert links[1].sent == [news]


# Two control replicas passed the end of a probe on to each other endlessly.
def test_each_step_of_a_probe_is_passed_on_once():
    """A probe begins, ends without a result, and another one begins."""
    links = [FakeLink(name) for name in ('entry1', 'entry2', 'control2')]
    relay = _make_relay(links)
    for time_left_ms in (5000, 0, 5000, 0):
        probe = messages.Trial(key=7, time_left_ms=time_left_ms)
        for _ in range(3):
            relay.handle(links[0], messages.CrashNews(trials=[probe]))
            relay.handle(links[2], messages.CrashNews(trials=[probe]))
    told = [news.trials[0].time_left_ms for news in links[1].sent]
    assert told == [5000, 0, 5000, 0]


# A crash that a full replica dropped at once would be news each time.
def test_crash_that_is_not_kept_is_not_passed_on():
    """It is too old, or older than all that there is room for."""
    link = FakeLink('entry2')
    relay = _make_relay([link])
    suspect = messages.Suspect(key=1, kind=messages.CauseKind.NEW_PART)

    def tell(crash_id, age_s):
        crash = messages.Crash(
            id=crash_id,
            age_ms=round(1000 * age_s),
            quarantine_ms=1000,
            suspects=[suspect],
        )
        relay.handle(FakeLink('entry1'), messages.CrashNews(crashes=[crash]))

    tell(0, const.CRASH_TTL_S + 1.0)
    assert not link.sent
    for crash_id in range(1, const.MAX_CRASHES + 1):
        tell(crash_id, 10.0)
    assert len(link.sent) == const.MAX_CRASHES
    tell(const.MAX_CRASHES + 1, 20.0)
    assert len(link.sent) == const.MAX_CRASHES
    tell(const.MAX_CRASHES + 2, 1.0)
    assert len(link.sent) == const.MAX_CRASHES + 1


def test_new_link_gets_all_that_is_known():
    """All entry instances may have restarted meanwhile."""
    relay = _make_relay([])
    empty = FakeLink('entry0')
    relay.send_all(empty)
    assert not empty.sent
    relay.handle(FakeLink('entry1'), _make_news())
    link = FakeLink('entry2')
    relay.send_all(link)
    ledger = state.CrashLedger()
    ledger.merge(link.sent[0], 20.0)
    decision = ledger.decide(CAUSES, 21.0)
    assert decision.status is state.Status.QUARANTINED


def test_clearing_that_overtakes_the_crash_is_kept():
    """News of two instances take different ways."""
    links = [FakeLink('entry1'), FakeLink('entry2')]
    relay = _make_relay(links)
    crash = _make_news()
    key = CAUSES.shared_parts[0]
    relay.handle(
        links[0],
        messages.CrashNews(
            acquittals=[messages.Acquittal(key=key, crash_ids=[5])]
        ),
    )
    relay.handle(links[0], crash)
    ledger = state.CrashLedger()
    for news in links[1].sent:
        ledger.merge(news, 20.0)
    assert ledger.decide(CAUSES, 21.0) is state.CLEAR
