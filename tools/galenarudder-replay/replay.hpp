/// \file
/// Runs a trace through the real router, call_flow and gate, with simulated
/// upstreams, links, membership and store.
#pragma once

#include "fake_store.hpp"
#include "fake_upstream.hpp"
#include "outcome.hpp"
#include "timeline.hpp"
#include "trace.hpp"

#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/routing/router.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenarudder::replay {

/// One run of a trace; can be run once.
class replay
{
public:
    /// \p recorded must outlive the replay.
    explicit replay(const trace& recorded);

    /// Runs every event with the pick strategy \p policy; returns the results
    /// as a JSON object.
    std::string run(const std::string& policy);

private:
    struct entry
    {
        explicit entry(const std::string& domain, const std::string& id)
            : domain(domain), router(domain, id)
        {
        }

        std::string domain;
        routing::router router;
        support::random_engine random;
    };
    /// A call that an entry handles.
    struct simulated_call
    {
        call_event event;
        std::size_t rank = 0;
        /// Position among the calls of the trace, from 0.
        std::size_t position = 0;
        entry* receiving_entry = nullptr;
        support::time_point offered_at;
        std::unique_ptr<proxy::call_flow> flow;
        /// Keys and targets of the attempts, by number of the attempt.
        std::vector<admission::attempt_key> attempt_keys;
        std::vector<fake_upstream*> targets;
    };
    using call_ptr = std::shared_ptr<simulated_call>;

    void apply(const trace_event& event);
    void offer(const call_event& event);
    void begin(const call_ptr& call);
    void perform(const call_ptr& call, std::vector<proxy::call_action> actions);
    void execute(const call_ptr& call, const proxy::send_attempt& action);
    void execute(const call_ptr& call, const proxy::cancel_attempt& action);
    void execute(const call_ptr& call, const proxy::forward_response& action);
    void execute(const call_ptr& call, const proxy::refuse_call& action);
    void execute(const call_ptr& call, const proxy::arm_timer& action);
    void on_reply(const call_ptr& call,
                  std::size_t attempt,
                  const attempt_reply& reply);
    void change_upstream(const upstream_event& event);
    void announce_state(const fake_upstream& upstream,
                        membership::member_state state,
                        double after_ms);
    membership::member_record make_record(const fake_upstream& upstream,
                                          membership::member_state state);
    void notify_drain(const fake_upstream& upstream);
    double delay_ms(const entry& from, const fake_upstream& to);
    void tick_all();

    const trace& trace_;
    timeline clock_;
    support::time_point started_at_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;
    std::map<std::string, fake_upstream*> upstreams_by_id_;
    std::map<std::string, std::uint64_t> incarnations_;
    fake_store store_;
    support::random_engine link_random_;
    std::uint64_t last_attempt_id_ = 0;
    std::size_t remaining_events_ = 0;
    std::size_t open_call_count_ = 0;
    replay_outcome outcome_;
};

} // namespace galenarudder::replay
