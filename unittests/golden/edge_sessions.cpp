// Golden sessions of the output formats: problem documents and link messages.
#include "session.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/proxy/problem.hpp"

#include <nlohmann/json.hpp>

namespace galenarudder::golden {

using nlohmann::json;

namespace {

constexpr support::refusal_kind last_kind = support::refusal_kind::canceled;

support::call_head sample_call()
{
    support::call_head head;
    head.id = support::attempt_id{41};
    head.service = "reservas";
    head.rank = "urgent";
    head.remaining_time = support::milliseconds(750);
    head.idempotency_key = "deposit-7";
    head.depth = 2;
    head.method = "POST";
    head.target = "/deposits";
    head.fields = {{"Accept", "application/json"}};
    head.content_length = 9;
    return head;
}

support::response_head sample_answer()
{
    support::response_head head;
    head.status = 200;
    head.reason = "OK";
    head.fields = {{"Content-Type", "application/json"}};
    return head;
}

} // namespace

void play_refusals(transcript& out)
{
    for (int kind = 0; kind <= static_cast<int>(last_kind); ++kind) {
        for (const auto outcome :
             {support::run_outcome::not_run, support::run_outcome::unknown}) {
            support::refusal refusal;
            refusal.kind = static_cast<support::refusal_kind>(kind);
            refusal.outcome = outcome;
            refusal.detail = "as it happened";
            out.line(json::parse(proxy::problem_json(refusal)).dump());
        }
    }
}

void play_link_messages(transcript& out)
{
    const support::attempt_id id{41};
    support::load_report load;
    load.running = 7;
    load.waiting = 3;
    load.limit = 9;
    load.service_ms = 4.5;
    load.waiting_by_rank = {0, 1, 2};
    const support::refusal refusal{
        support::refusal_kind::overloaded, support::run_outcome::not_run, true,
        support::milliseconds(1000), "the queue is full"};
    const std::vector<link::message> messages = {
        link::call_begin{sample_call()},
        link::body_part{id, "table set", true},
        link::response_begin{id, sample_answer(), load},
        link::body_part{id, "{\"booked\":true}", false},
        link::body_credit{id, 8192},
        link::body_part{id, "", true},
        link::call_cancel{id},
        link::call_refused{id, refusal, load},
        link::drain_notice{},
    };
    for (const link::message& sent_message : messages)
        out.line(json::from_cbor(link::encode(sent_message)).dump());
}

} // namespace galenarudder::golden
