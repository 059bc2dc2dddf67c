// Retries, hedges and truthful outcomes of one call, and of calls nested 26
// deep.
#include "galenarudder/proxy/call_flow.hpp"

#include "galenarudder/telemetry/decision_log.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace galenarudder;
using namespace galenarudder::proxy;
using config::automation;
using config::automation_mode;
using support::milliseconds;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;
using support::time_point;

namespace {

const time_point begin{std::chrono::seconds(100)};
const time_point deadline = begin + milliseconds(1000);
const support::load_report no_load{};

struct fixture
{
    explicit fixture(int upstreams = 3)
    {
        router.set_decision_log(decisions);
        for (int number = 0; number < upstreams; ++number) {
            membership::member_record record;
            record.id = "u" + std::to_string(number);
            record.state = membership::member_state::alive;
            record.service = "reservas";
            record.slots = 9;
            router.on_record(record, begin);
        }
    }

    void set_mode(automation what, automation_mode mode)
    {
        config::configuration in_force = config::default_configuration();
        in_force.modes.at(static_cast<std::size_t>(what)) = mode;
        router.on_configuration(in_force);
    }

    call_flow make(bool repeatable, bool replayable = true) const
    {
        return {router, {"reservas", 0, deadline, repeatable, replayable}};
    }

    /// Runs calls of 10 ms, so that percentiles and budgets are known.
    void warm_up(int calls)
    {
        for (int count = 0; count < calls; ++count) {
            call_flow flow = make(true);
            flow.start(begin, random);
            flow.on_answer(0, no_load, 200, begin + milliseconds(10), random);
            flow.on_answer_end(true, begin + milliseconds(10));
        }
    }

    support::random_engine random{7};
    telemetry::decision_log decisions;
    routing::router router{"bilbao"};
};

template <typename Action>
std::size_t count(const std::vector<call_action>& actions)
{
    std::size_t found = 0;
    for (const call_action& action : actions) {
        if (std::holds_alternative<Action>(action))
            ++found;
    }
    return found;
}

const refusal* refused(const std::vector<call_action>& actions)
{
    for (const call_action& action : actions) {
        if (const auto* ended = std::get_if<refuse_call>(&action))
            return &ended->why;
    }
    return nullptr;
}

refusal make_refusal(refusal_kind kind, run_outcome outcome)
{
    return {kind, outcome, false, milliseconds(0), ""};
}

} // namespace

TEST_CASE("what may be sent again", "[call_flow]")
{
    struct row
    {
        refusal_kind kind;
        run_outcome outcome;
        bool repeatable;
        bool replayable;
        bool sent_again;
    };
    const auto given_row = GENERATE(
        row{refusal_kind::overloaded, run_outcome::not_run, false, true, true},
        row{refusal_kind::draining, run_outcome::not_run, false, true, true},
        row{refusal_kind::draining, run_outcome::not_run, false, false, false},
        row{refusal_kind::upstream_failed, run_outcome::unknown, false, true,
            false},
        row{refusal_kind::upstream_failed, run_outcome::unknown, true, true,
            true},
        row{refusal_kind::link_broken, run_outcome::unknown, false, true,
            false});
    fixture given;
    call_flow flow = given.make(given_row.repeatable, given_row.replayable);
    flow.start(begin, given.random);
    const auto actions =
        flow.on_refusal(0, make_refusal(given_row.kind, given_row.outcome),
                        no_load, begin, given.random);
    CHECK(count<send_attempt>(actions) == (given_row.sent_again ? 1 : 0));
    CHECK(count<refuse_call>(actions) == (given_row.sent_again ? 0 : 1));
}

TEST_CASE("a call handed back goes to each other upstream, then is held",
          "[call_flow]")
{
    fixture given(3);
    call_flow flow = given.make(false);
    auto actions = flow.start(begin, given.random);
    std::vector<support::member_id> asked;
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
        const auto sent = std::get<send_attempt>(actions.front());
        CHECK(sent.movable);
        asked.push_back(sent.target.member);
        actions = flow.on_refusal(
            attempt,
            make_refusal(refusal_kind::slow_spell, run_outcome::not_run),
            no_load, begin, given.random);
    }
    const auto last = std::get<send_attempt>(actions.front());
    CHECK_FALSE(last.movable);
    CHECK(std::find(asked.begin(), asked.end(), last.target.member) ==
          asked.end());
    // One that handed the call back is asked again when the last one leaves.
    actions = flow.on_refusal(
        2, make_refusal(refusal_kind::draining, run_outcome::not_run), no_load,
        begin, given.random);
    const auto again = std::get<send_attempt>(actions.front());
    CHECK(again.target.member != last.target.member);
    CHECK(count<forward_answer>(
              flow.on_answer(3, no_load, 200, begin, given.random)) == 1);
}

TEST_CASE("a call whose body is gone is never handed back", "[call_flow]")
{
    fixture given;
    call_flow flow = given.make(false, false);
    const auto actions = flow.start(begin, given.random);
    CHECK_FALSE(std::get<send_attempt>(actions.front()).movable);
}

TEST_CASE("a call that can have run is not refused as not-run", "[call_flow]")
{
    fixture given;
    call_flow flow = given.make(true);
    flow.start(begin, given.random);
    flow.on_refusal(
        0, make_refusal(refusal_kind::upstream_failed, run_outcome::unknown),
        no_load, begin, given.random);
    flow.on_refusal(1,
                    make_refusal(refusal_kind::draining, run_outcome::not_run),
                    no_load, begin, given.random);
    const auto actions = flow.on_refusal(
        2, make_refusal(refusal_kind::overloaded, run_outcome::not_run),
        no_load, begin, given.random);
    REQUIRE(refused(actions));
    CHECK(refused(actions)->outcome == run_outcome::unknown);
    CHECK(refused(actions)->retry_exhausted);
}

TEST_CASE("retries stop at the budget; moves do not need it", "[call_flow]")
{
    fixture given;
    const auto kind =
        GENERATE(refusal_kind::overloaded, refusal_kind::draining);
    std::size_t again = 0;
    for (int call = 0; call < 1000; ++call) {
        call_flow flow = given.make(false);
        flow.start(begin, given.random);
        again += count<send_attempt>(
            flow.on_refusal(0, make_refusal(kind, run_outcome::not_run),
                            no_load, begin, given.random));
    }
    if (kind == refusal_kind::draining)
        CHECK(again == 1000);
    else
        CHECK(again <= 100 + 10);
    CHECK(again >= 90);
}

TEST_CASE("retries in observe mode are only counted", "[call_flow]")
{
    fixture given;
    given.set_mode(automation::retry, automation_mode::observe);
    call_flow flow = given.make(false);
    flow.start(begin, given.random);
    const auto actions = flow.on_refusal(
        0, make_refusal(refusal_kind::overloaded, run_outcome::not_run),
        no_load, begin, given.random);
    CHECK(refused(actions));
    CHECK(given.decisions.count(automation::retry,
                                telemetry::decision_effect::observed) == 1);
}

TEST_CASE("a failed answer of a repeatable call is replaced", "[call_flow]")
{
    const bool repeatable = GENERATE(true, false);
    fixture given;
    call_flow flow = given.make(repeatable);
    flow.start(begin, given.random);
    const auto actions = flow.on_answer(0, no_load, 500, begin, given.random);
    CHECK(count<send_attempt>(actions) == (repeatable ? 1 : 0));
    CHECK(count<cancel_attempt>(actions) == (repeatable ? 1 : 0));
    CHECK(count<forward_answer>(actions) == (repeatable ? 0 : 1));
}

TEST_CASE("a hedge goes out after the percentile; the loser is canceled",
          "[call_flow]")
{
    fixture given;
    given.warm_up(200);
    call_flow flow = given.make(true);
    const auto started = flow.start(begin, given.random);
    const auto armed = std::get<arm_timer>(started.back()).at;
    CHECK(armed < begin + milliseconds(15));
    CHECK(count<send_attempt>(flow.on_timer(begin, given.random)) == 0);
    const auto hedged = flow.on_timer(armed, given.random);
    REQUIRE(count<send_attempt>(hedged) == 1);
    CHECK(std::get<arm_timer>(hedged.back()).at > deadline);
    const std::size_t winner = GENERATE(0, 1);
    const auto ended =
        flow.on_answer(winner, no_load, 200, armed, given.random);
    REQUIRE(count<cancel_attempt>(ended) == 1);
    CHECK(std::get<forward_answer>(ended[0]).attempt == winner);
    CHECK(std::get<cancel_attempt>(ended[1]).attempt == 1 - winner);
    CHECK(
        flow.on_answer(1 - winner, no_load, 200, armed, given.random).empty());
}

TEST_CASE("with a hedge open one refusal does not end the call", "[call_flow]")
{
    fixture given;
    given.warm_up(200);
    call_flow flow = given.make(true);
    flow.start(begin, given.random);
    flow.on_timer(begin + milliseconds(20), given.random);
    const auto actions = flow.on_refusal(
        1, make_refusal(refusal_kind::overloaded, run_outcome::not_run),
        no_load, begin + milliseconds(21), given.random);
    CHECK(actions.empty());
    CHECK(count<forward_answer>(flow.on_answer(
              0, no_load, 200, begin + milliseconds(30), given.random)) == 1);
}

TEST_CASE("hedges keep to mode, share and repeatable calls", "[call_flow]")
{
    fixture given;
    const bool observe = GENERATE(false, true);
    if (observe)
        given.set_mode(automation::hedge, automation_mode::observe);
    given.warm_up(200);
    std::size_t hedges = 0;
    for (int call = 0; call < 1000; ++call) {
        call_flow flow = given.make(true);
        flow.start(begin, given.random);
        hedges += count<send_attempt>(
            flow.on_timer(begin + milliseconds(20), given.random));
        flow.on_caller_gone(begin);
    }
    CHECK(hedges <= (observe ? 0 : 50 + 10));
    call_flow once = given.make(false);
    once.start(begin, given.random);
    CHECK(count<send_attempt>(
              once.on_timer(begin + milliseconds(20), given.random)) == 0);
}

TEST_CASE("the deadline and a caller that goes cancel what is open",
          "[call_flow]")
{
    fixture given;
    call_flow late = given.make(false);
    late.start(begin, given.random);
    const auto actions =
        late.on_timer(deadline + milliseconds(50), given.random);
    CHECK(count<cancel_attempt>(actions) == 1);
    REQUIRE(refused(actions));
    CHECK(refused(actions)->outcome == run_outcome::unknown);
    call_flow left = given.make(false);
    left.start(begin, given.random);
    CHECK(count<cancel_attempt>(left.on_caller_gone(begin)) == 1);
    CHECK(given.router.pick({"reservas", 0, {}}, begin, given.random)
              ->state->outstanding == 0);
}

TEST_CASE("retries do not multiply over 26 levels", "[call_flow]")
{
    constexpr int levels = 26;
    constexpr int calls = 200;
    std::vector<std::unique_ptr<fixture>> entries;
    for (int level = 0; level < levels; ++level)
        entries.push_back(std::make_unique<fixture>());
    std::size_t leaf_attempts = 0;
    // Every level's upstream makes one call to the next level and passes its
    // refusal on; the last level's upstreams are all overloaded.
    std::function<refusal(int)> call_level = [&](int level) {
        if (level == levels) {
            ++leaf_attempts;
            return make_refusal(refusal_kind::overloaded, run_outcome::not_run);
        }
        fixture& entry = *entries[static_cast<std::size_t>(level)];
        call_flow flow = entry.make(true);
        auto actions = flow.start(begin, entry.random);
        for (;;) {
            if (const refusal* why = refused(actions))
                return *why;
            const auto sent = std::get<send_attempt>(actions.front());
            actions = flow.on_refusal(sent.attempt, call_level(level + 1),
                                      no_load, begin, entry.random);
        }
    };
    for (int call = 0; call < calls; ++call)
        CHECK(call_level(0).retry_exhausted);
    CHECK(leaf_attempts <= calls * 1.1 + 10);
}
