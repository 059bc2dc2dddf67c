/// \file
/// Runs a trace through the real router, call_flow and gate.
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

class replay
{
public:
    /// \p given must outlive the replay.
    explicit replay(const trace& given);

    /// Runs every event; returns the JSON object of DESIGN §11.
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
    struct session
    {
        call_event call;
        std::size_t rank = 0;
        std::size_t number = 0;
        entry* at = nullptr;
        support::time_point offered_at;
        std::unique_ptr<proxy::call_flow> flow;
        std::vector<admission::attempt_key> attempts;
        std::vector<fake_upstream*> targets;
    };
    using session_ptr = std::shared_ptr<session>;

    void play(const trace_event& event);
    void offer(const call_event& call);
    void begin(const session_ptr& open);
    void perform(const session_ptr& open,
                 std::vector<proxy::call_action> actions);
    void execute(const session_ptr& open, const proxy::send_attempt& wanted);
    void execute(const session_ptr& open, const proxy::cancel_attempt& dropped);
    void execute(const session_ptr& open,
                 const proxy::forward_response& chosen);
    void execute(const session_ptr& open, const proxy::refuse_call& ended);
    void execute(const session_ptr& open, const proxy::arm_timer& armed);
    void heard(const session_ptr& open,
               std::size_t attempt,
               const attempt_reply& reply);
    void change(const upstream_event& event);
    void tell_members(const fake_upstream& upstream,
                      membership::member_state state,
                      double after_ms);
    membership::member_record record_of(const fake_upstream& upstream,
                                        membership::member_state state);
    void notify_drain(const fake_upstream& upstream);
    double delay_ms(const entry& from, const fake_upstream& to);
    void tick_all();

    const trace& given_;
    timeline clock_;
    support::time_point begun_at_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<fake_upstream>> fleet_;
    std::map<std::string, fake_upstream*> by_id_;
    std::map<std::string, std::uint64_t> incarnations_;
    fake_store store_;
    support::random_engine link_random_;
    std::uint64_t last_attempt_ = 0;
    std::size_t events_left_ = 0;
    std::size_t open_sessions_ = 0;
    replay_outcome outcome_;
};

} // namespace galenarudder::replay
