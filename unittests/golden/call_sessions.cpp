// Golden sessions of the gate, the call flow and automated decisions.
#include "session.hpp"

#include "galenarudder/admission/gate.hpp"
#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/routing/router.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

namespace galenarudder::golden {

namespace {

constexpr support::time_point start_time{std::chrono::seconds(100)};

support::time_point at_ms(double ms)
{
    return start_time + support::from_ms(ms);
}

std::string describe(const support::refusal& refusal)
{
    return std::string(to_string(refusal.kind)) + " " +
           std::string(to_string(refusal.outcome)) +
           (refusal.retry_exhausted ? " no-retry" : "");
}

/// Writes the gate's actions to the transcript.
struct gate_printer
{
    transcript& out;

    static std::string name(const admission::attempt_key& key)
    {
        return std::to_string(static_cast<std::uint64_t>(key.id));
    }
    void operator()(const admission::start& started) const
    {
        out.line("  start " + name(started.key));
    }
    void operator()(const admission::refuse& refused) const
    {
        out.line("  refuse " + name(refused.key) + " " +
                 describe(refused.refusal));
    }
    void operator()(const admission::abort_running& aborted) const
    {
        out.line("  abort " + name(aborted.key));
    }
};

void print(transcript& out,
           const std::string& event,
           const std::vector<admission::action>& actions)
{
    out.line(event);
    for (const admission::action& action : actions)
        std::visit(gate_printer{out}, action);
}

admission::attempt_key key_of(std::uint64_t number)
{
    return {1, static_cast<support::attempt_id>(number)};
}

admission::attempt
make_attempt(std::uint64_t number, std::string rank, double deadline_ms)
{
    return {key_of(number), std::move(rank), at_ms(deadline_ms), false};
}

/// Writes the call flow's actions to the transcript.
struct call_printer
{
    transcript& out;

    void operator()(const proxy::send_attempt& sent) const
    {
        out.line("  send attempt " + std::to_string(sent.attempt));
    }
    void operator()(const proxy::cancel_attempt& canceled) const
    {
        out.line("  cancel attempt " + std::to_string(canceled.attempt));
    }
    void operator()(const proxy::forward_response& forwarded) const
    {
        out.line("  forward attempt " + std::to_string(forwarded.attempt));
    }
    void operator()(const proxy::refuse_call& refused) const
    {
        out.line("  refuse " + describe(refused.refusal));
    }
    void operator()(const proxy::arm_timer&) const {}
};

void print(transcript& out,
           const std::string& event,
           const std::vector<proxy::call_action>& actions)
{
    out.line(event);
    for (const proxy::call_action& action : actions)
        std::visit(call_printer{out}, action);
}

void add_upstreams(routing::router& router)
{
    for (const char* id : {"reservas-1", "reservas-2", "reservas-3"}) {
        membership::member_record record;
        record.id = id;
        record.incarnation = 1;
        record.state = membership::member_state::alive;
        record.domain = "bilbao";
        record.service = "reservas";
        record.slots = 9;
        router.on_record(record, start_time);
    }
}

proxy::call_properties call_properties(bool repeatable)
{
    proxy::call_properties properties;
    properties.service = "reservas";
    properties.deadline = at_ms(500);
    properties.repeatable = repeatable;
    return properties;
}

} // namespace

void play_gate(transcript& out)
{
    constexpr std::uint32_t slots = 2;
    admission::gate gate(config::default_configuration());
    print(out, "0 ms: offer 1 before an upstream is there",
          gate.offer(make_attempt(1, "urgent", 500), at_ms(0)));
    print(out, "1 ms: upstream with 2 slots",
          gate.on_upstream_announced(slots, at_ms(1)));
    for (std::uint64_t number = 2; number < 6; ++number) {
        print(out, "2 ms: offer bulk " + std::to_string(number),
              gate.offer(make_attempt(number, "bulk", 500), at_ms(2)));
    }
    print(out, "3 ms: offer urgent 6",
          gate.offer(make_attempt(6, "urgent", 500), at_ms(3)));
    print(out, "4 ms: offer normal 7",
          gate.offer(make_attempt(7, "normal", 500), at_ms(4)));
    print(out, "6 ms: 2 ends",
          gate.on_ended(key_of(2), admission::run_result::answered,
                        support::milliseconds(4), at_ms(6)));
    print(out, "7 ms: cancel 4", gate.cancel(key_of(4), at_ms(7)));
    print(out, "8 ms: drain", gate.drain(at_ms(8)));
    print(out, "9 ms: offer 8 while draining",
          gate.offer(make_attempt(8, "urgent", 500), at_ms(9)));
}

void play_call_flow(transcript& out)
{
    const support::load_report load;
    for (const bool repeatable : {false, true}) {
        out.line(repeatable ? "a call that may repeat"
                            : "a call that must not repeat");
        routing::router router("bilbao");
        router.on_configuration(config::default_configuration());
        add_upstreams(router);
        support::random_engine random{3};
        proxy::call_flow flow(router, call_properties(repeatable));
        print(out, "0 ms: start", flow.start(at_ms(0), random));
        const support::refusal draining{support::refusal_kind::draining,
                                        support::run_outcome::not_run};
        print(out, "1 ms: the gate is draining",
              flow.on_refusal(0, draining, load, at_ms(1), random));
        const support::refusal broken{support::refusal_kind::link_broken,
                                      support::run_outcome::unknown};
        print(out, "2 ms: the link broke",
              flow.on_refusal(1, broken, load, at_ms(2), random));
    }
    out.line("an answer that comes after the deadline");
    routing::router router("bilbao");
    router.on_configuration(config::default_configuration());
    add_upstreams(router);
    support::random_engine random{3};
    proxy::call_flow flow(router, call_properties(false));
    print(out, "0 ms: start", flow.start(at_ms(0), random));
    print(out, "600 ms: the caller went away",
          flow.on_caller_disconnected(at_ms(600)));
    print(out, "700 ms: late answer",
          flow.on_response(0, load, 200, at_ms(700), random));
}

void play_decisions(transcript& out)
{
    using config::automation;
    using config::automation_mode;
    for (const auto mode :
         {automation_mode::automatic, automation_mode::bounded,
          automation_mode::observe}) {
        for (const bool within_limits : {true, false}) {
            const auto effect = telemetry::effect_of(mode, within_limits);
            out.line(
                std::string(to_string(mode)) +
                (within_limits ? " within limits: " : " outside limits: ") +
                std::string(to_string(effect)));
        }
    }
    telemetry::decision_log log;
    log.record({at_ms(1), automation::eject, telemetry::decision_effect::acted,
                "reservas-2", "error rate 0.8 above 0.5"});
    log.record({at_ms(2), automation::hedge,
                telemetry::decision_effect::observed, "reservas",
                "after 40 ms"});
    for (const telemetry::decision& recorded : log.latest()) {
        out.line(std::string(to_string(recorded.kind)) + " " +
                 std::string(to_string(recorded.effect)) + " " +
                 recorded.subject + ": " + recorded.reason);
    }
}

} // namespace galenarudder::golden
