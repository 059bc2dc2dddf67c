// Retries, hedges and outcomes of single calls, and retries of calls that are
// nested to the greatest depth of 26.
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

const time_point start_time{std::chrono::seconds(100)};
const time_point deadline = start_time + milliseconds(1000);
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
            router.on_record(record, start_time);
        }
    }

    void set_mode(automation automation_kind, automation_mode mode)
    {
        config::configuration in_force = config::default_configuration();
        in_force.modes.at(static_cast<std::size_t>(automation_kind)) = mode;
        router.on_configuration(in_force);
    }

    call_flow make(bool repeatable, bool replayable = true) const
    {
        return {router, {"reservas", 0, deadline, repeatable, replayable}};
    }

    /// Runs calls of 10 ms each, which fill the latency percentiles and the
    /// budgets.
    void warm_up(int calls)
    {
        for (int count = 0; count < calls; ++count) {
            call_flow flow = make(true);
            flow.start(start_time, random);
            flow.on_response(0, no_load, 200, start_time + milliseconds(10),
                             random);
            flow.on_response_end(true, start_time + milliseconds(10));
        }
    }

    support::random_engine random{7};
    telemetry::decision_log decisions;
    routing::router router{"bilbao"};
};

template <typename Action>
std::size_t count(const std::vector<call_action>& actions)
{
    std::size_t total = 0;
    for (const call_action& action : actions) {
        if (std::holds_alternative<Action>(action))
            ++total;
    }
    return total;
}

const refusal* find_refusal(const std::vector<call_action>& actions)
{
    for (const call_action& action : actions) {
        if (const auto* refused = std::get_if<refuse_call>(&action))
            return &refused->refusal;
    }
    return nullptr;
}

refusal make_refusal(refusal_kind kind, run_outcome outcome)
{
    return {kind, outcome, false, milliseconds(0), ""};
}

} // namespace

TEST_CASE("a refused call is sent again only if that is safe", "[call_flow]")
{
    struct row
    {
        refusal_kind kind;
        run_outcome outcome;
        bool repeatable;
        bool replayable;
        bool sent_again;
    };
    const auto expected = GENERATE(
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
    call_flow flow = given.make(expected.repeatable, expected.replayable);
    flow.start(start_time, given.random);
    const auto actions =
        flow.on_refusal(0, make_refusal(expected.kind, expected.outcome),
                        no_load, start_time, given.random);
    CHECK(count<send_attempt>(actions) == (expected.sent_again ? 1 : 0));
    CHECK(count<refuse_call>(actions) == (expected.sent_again ? 0 : 1));
}

TEST_CASE("a call that was handed back goes to all untried upstreams before "
          "those that handed it back",
          "[call_flow]")
{
    fixture given(3);
    call_flow flow = given.make(false);
    auto actions = flow.start(start_time, given.random);
    std::vector<support::member_id> tried;
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
        const auto sent = std::get<send_attempt>(actions.front());
        CHECK(sent.may_hand_back);
        tried.push_back(sent.target.member);
        actions = flow.on_refusal(
            attempt,
            make_refusal(refusal_kind::slow_spell, run_outcome::not_run),
            no_load, start_time, given.random);
    }
    const auto last = std::get<send_attempt>(actions.front());
    CHECK_FALSE(last.may_hand_back);
    CHECK(std::find(tried.begin(), tried.end(), last.target.member) ==
          tried.end());
    // Those that handed the call back are tried again once the last one drains.
    actions = flow.on_refusal(
        2, make_refusal(refusal_kind::draining, run_outcome::not_run), no_load,
        start_time, given.random);
    const auto sent_again = std::get<send_attempt>(actions.front());
    CHECK(sent_again.target.member != last.target.member);
    CHECK(count<forward_response>(flow.on_response(3, no_load, 200, start_time,
                                                   given.random)) == 1);
}

TEST_CASE("a call that upstreams have no room for is not sent round and round",
          "[call_flow]")
{
    const int upstreams = GENERATE(1, 2, 3, 9);
    const refusal_kind kind =
        GENERATE(refusal_kind::rate_limited, refusal_kind::slow_spell);
    fixture given(upstreams);
    call_flow flow = given.make(true);
    std::vector<call_action> actions = flow.start(start_time, given.random);
    std::size_t attempt = 0;
    while (find_refusal(actions) == nullptr) {
        REQUIRE(attempt < call_flow::max_attempts + call_flow::max_handed_back);
        actions =
            flow.on_refusal(attempt++, make_refusal(kind, run_outcome::not_run),
                            no_load, start_time, given.random);
    }
    CHECK(find_refusal(actions)->kind == kind);
    CHECK(find_refusal(actions)->outcome == run_outcome::not_run);
}

// Guards against a call that is sent from one full cold upstream to the next.
TEST_CASE("a budget and their reports bound the moves between cold upstreams",
          "[call_flow]")
{
    config::configuration in_force = config::default_configuration();
    config::service_policy policy;
    policy.name = "reservas";
    policy.cold_calls_per_s = 10;
    in_force.services.push_back(policy);
    fixture given(3);
    given.router.on_configuration(in_force);
    support::load_report full;
    full.limit = 6;
    full.cold_ms = 900;
    full.start_delay_ms = 500;
    const auto refused =
        make_refusal(refusal_kind::rate_limited, run_outcome::not_run);
    const auto start_call = [&](call_flow& flow) {
        return flow.start(start_time, given.random);
    };
    call_properties properties{"reservas", 0, deadline, true};
    properties.in_time_until = start_time + milliseconds(400);
    call_flow flow(given.router, properties);
    auto actions = start_call(flow);
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        // The last one leaves no other upstream to be tried.
        CHECK(std::get<send_attempt>(actions.front()).may_hand_back ==
              (attempt < 2));
        actions =
            flow.on_refusal(attempt, refused, full, start_time, given.random);
    }
    // None of them can start the call before it is late.
    REQUIRE(find_refusal(actions) != nullptr);
    CHECK(find_refusal(actions)->retry_after >= milliseconds(900));
    CHECK(find_refusal(actions)->outcome == run_outcome::not_run);
    // The next one is not sent at all.
    call_flow next(given.router, properties);
    CHECK(find_refusal(start_call(next)) != nullptr);
    properties.in_time_until = start_time + milliseconds(700);
    call_flow patient(given.router, properties);
    actions = start_call(patient);
    REQUIRE(find_refusal(actions) == nullptr);
    CHECK(std::get<send_attempt>(actions.front()).may_hand_back);
    // The two tokens of the start are used up.
    call_flow last(given.router, properties);
    CHECK_FALSE(std::get<send_attempt>(start_call(last).front()).may_hand_back);
}

TEST_CASE("a call whose body cannot be sent again is never handed back",
          "[call_flow]")
{
    fixture given;
    call_flow flow = given.make(false, false);
    const auto actions = flow.start(start_time, given.random);
    CHECK_FALSE(std::get<send_attempt>(actions.front()).may_hand_back);
}

TEST_CASE("a call that may have run is not refused as not-run", "[call_flow]")
{
    fixture given;
    call_flow flow = given.make(true);
    flow.start(start_time, given.random);
    flow.on_refusal(
        0, make_refusal(refusal_kind::upstream_failed, run_outcome::unknown),
        no_load, start_time, given.random);
    flow.on_refusal(1,
                    make_refusal(refusal_kind::draining, run_outcome::not_run),
                    no_load, start_time, given.random);
    const auto actions = flow.on_refusal(
        2, make_refusal(refusal_kind::overloaded, run_outcome::not_run),
        no_load, start_time, given.random);
    REQUIRE(find_refusal(actions));
    CHECK(find_refusal(actions)->outcome == run_outcome::unknown);
    CHECK(find_refusal(actions)->retry_exhausted);
}

TEST_CASE("the budget limits retries, except those after a refusal by a "
          "draining upstream",
          "[call_flow]")
{
    fixture given;
    const auto kind =
        GENERATE(refusal_kind::overloaded, refusal_kind::draining);
    std::size_t sent_again = 0;
    for (int call = 0; call < 1000; ++call) {
        call_flow flow = given.make(false);
        flow.start(start_time, given.random);
        sent_again += count<send_attempt>(
            flow.on_refusal(0, make_refusal(kind, run_outcome::not_run),
                            no_load, start_time, given.random));
    }
    if (kind == refusal_kind::draining)
        CHECK(sent_again == 1000);
    else
        CHECK(sent_again <= 100 + 10);
    CHECK(sent_again >= 90);
}

TEST_CASE("in observe mode retries are only recorded", "[call_flow]")
{
    fixture given;
    given.set_mode(automation::retry, automation_mode::observe);
    call_flow flow = given.make(false);
    flow.start(start_time, given.random);
    const auto actions = flow.on_refusal(
        0, make_refusal(refusal_kind::overloaded, run_outcome::not_run),
        no_load, start_time, given.random);
    CHECK(find_refusal(actions));
    CHECK(given.decisions.count(automation::retry,
                                telemetry::decision_effect::observed) == 1);
}

TEST_CASE("a 5xx response to a repeatable call is retried", "[call_flow]")
{
    const bool repeatable = GENERATE(true, false);
    fixture given;
    call_flow flow = given.make(repeatable);
    flow.start(start_time, given.random);
    const auto actions =
        flow.on_response(0, no_load, 500, start_time, given.random);
    CHECK(count<send_attempt>(actions) == (repeatable ? 1 : 0));
    CHECK(count<cancel_attempt>(actions) == (repeatable ? 1 : 0));
    CHECK(count<forward_response>(actions) == (repeatable ? 0 : 1));
}

TEST_CASE(
    "a hedge is sent after the percentile; the slower attempt is canceled",
    "[call_flow]")
{
    fixture given;
    given.warm_up(200);
    call_flow flow = given.make(true);
    const auto started = flow.start(start_time, given.random);
    const auto armed = std::get<arm_timer>(started.back()).expiry;
    CHECK(armed < start_time + milliseconds(15));
    CHECK(count<send_attempt>(flow.on_timer(start_time, given.random)) == 0);
    const auto hedged = flow.on_timer(armed, given.random);
    REQUIRE(count<send_attempt>(hedged) == 1);
    CHECK(std::get<arm_timer>(hedged.back()).expiry > deadline);
    const std::size_t winner = GENERATE(0, 1);
    const auto actions =
        flow.on_response(winner, no_load, 200, armed, given.random);
    REQUIRE(count<cancel_attempt>(actions) == 1);
    CHECK(std::get<forward_response>(actions[0]).attempt == winner);
    CHECK(std::get<cancel_attempt>(actions[1]).attempt == 1 - winner);
    CHECK(flow.on_response(1 - winner, no_load, 200, armed, given.random)
              .empty());
}

TEST_CASE("a refusal of one attempt does not end a call with another open",
          "[call_flow]")
{
    fixture given;
    given.warm_up(200);
    call_flow flow = given.make(true);
    flow.start(start_time, given.random);
    flow.on_timer(start_time + milliseconds(20), given.random);
    const auto actions = flow.on_refusal(
        1, make_refusal(refusal_kind::overloaded, run_outcome::not_run),
        no_load, start_time + milliseconds(21), given.random);
    CHECK(actions.empty());
    CHECK(count<forward_response>(flow.on_response(
              0, no_load, 200, start_time + milliseconds(30), given.random)) ==
          1);
}

TEST_CASE("hedges follow mode and budget and need a repeatable call",
          "[call_flow]")
{
    fixture given;
    const bool observe = GENERATE(false, true);
    if (observe)
        given.set_mode(automation::hedge, automation_mode::observe);
    given.warm_up(200);
    std::size_t hedges = 0;
    for (int call = 0; call < 1000; ++call) {
        call_flow flow = given.make(true);
        flow.start(start_time, given.random);
        hedges += count<send_attempt>(
            flow.on_timer(start_time + milliseconds(20), given.random));
        flow.on_caller_disconnected(start_time);
    }
    CHECK(hedges <= (observe ? 0 : 50 + 10));
    call_flow unrepeatable = given.make(false);
    unrepeatable.start(start_time, given.random);
    CHECK(count<send_attempt>(unrepeatable.on_timer(
              start_time + milliseconds(20), given.random)) == 0);
}

TEST_CASE("the deadline and a caller's disconnection cancel open attempts",
          "[call_flow]")
{
    fixture given;
    call_flow past_deadline = given.make(false);
    past_deadline.start(start_time, given.random);
    const auto actions =
        past_deadline.on_timer(deadline + milliseconds(50), given.random);
    CHECK(count<cancel_attempt>(actions) == 1);
    REQUIRE(find_refusal(actions));
    CHECK(find_refusal(actions)->outcome == run_outcome::unknown);
    call_flow disconnected = given.make(false);
    disconnected.start(start_time, given.random);
    CHECK(count<cancel_attempt>(
              disconnected.on_caller_disconnected(start_time)) == 1);
    CHECK(given.router.pick({"reservas", 0, {}}, start_time, given.random)
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
    // The upstream of each level makes one call to the next level and returns
    // its refusal; the upstreams of the last level are all overloaded.
    std::function<refusal(int)> call_level = [&](int level) {
        if (level == levels) {
            ++leaf_attempts;
            return make_refusal(refusal_kind::overloaded, run_outcome::not_run);
        }
        fixture& entry = *entries[static_cast<std::size_t>(level)];
        call_flow flow = entry.make(true);
        auto actions = flow.start(start_time, entry.random);
        for (;;) {
            if (const refusal* refused = find_refusal(actions))
                return *refused;
            const auto sent = std::get<send_attempt>(actions.front());
            actions = flow.on_refusal(sent.attempt, call_level(level + 1),
                                      no_load, start_time, entry.random);
        }
    };
    for (int call = 0; call < calls; ++call)
        CHECK(call_level(0).retry_exhausted);
    CHECK(leaf_attempts <= calls * 1.1 + 10);
}
