/// \file
/// Claims of idempotency keys in the platform's store as a state machine
/// without I/O: a call with a key runs only after its claim was written.
#pragma once

#include "galenarudder/once/claim_shard.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::once {

/// Names one call that waits for its claim, unique within the daemon.
enum class ticket : std::uint64_t
{
};

/// The two clocks: deadlines are monotonic, retention is by the wall clock.
struct instant
{
    support::time_point now;
    std::uint64_t wall_ms = 0;
};

struct claim_request
{
    ticket who{};
    std::string service;
    std::string key;
    support::time_point deadline;
};

/// How a call that was admitted ended.
struct call_outcome
{
    enum class kind
    {
        answered,
        /// It truthfully did not run: the key is free again.
        not_run,
        unknown
    };
    kind how = kind::unknown;
    /// Set when it was answered.
    recorded_outcome answer;
};

/// What became of a write.
enum class write_result
{
    swapped,
    index_mismatch,
    /// It did not reach the store.
    not_sent,
    /// Its answer was lost; it may have taken effect, or may yet.
    unknown
};

/// Read this shard and hand it to on_read or on_read_failed.
struct read_shard
{
    shard_id shard{};
};

/// Write this shard and hand the result to on_write.
struct write_shard
{
    shard_id shard{};
    std::string value;
    std::uint64_t expected_index = 0;
};

/// The claim is in the store: dispatch the call.
struct admit
{
    ticket who{};
};

/// An earlier call with the key was answered with this.
struct replay
{
    ticket who{};
    recorded_outcome answer;
};

/// The call is not dispatched.
struct refuse_claim
{
    ticket who{};
    support::refusal why;
};

using claim_action =
    std::variant<read_shard, write_shard, admit, replay, refuse_claim>;

/// Safety rests on the store's compare-and-swap alone. Each shard has at most
/// one store call in flight here; what arrives meanwhile shares the next one.
class claims
{
public:
    /// \p owner is unique for each start of each daemon.
    claims(std::string owner, support::duration retention);

    void set_retention(support::duration retention) { retention_ = retention; }

    std::vector<claim_action> on_call(const claim_request& arrived,
                                      const instant& at);
    /// The caller gave up before its claim was decided.
    std::vector<claim_action> on_abandoned(ticket who, const instant& at);
    /// An admitted call ended.
    std::vector<claim_action>
    on_outcome(ticket who, call_outcome outcome, const instant& at);

    std::vector<claim_action> on_read(shard_id shard,
                                      std::string_view value,
                                      std::uint64_t index,
                                      const instant& at);
    std::vector<claim_action> on_read_failed(shard_id shard, const instant& at);
    std::vector<claim_action>
    on_write(shard_id shard, write_result how, const instant& at);
    std::vector<claim_action> on_tick(const instant& at);

    /// True while a claim, a record or a release has not reached the store.
    bool pending() const { return !shards_.empty(); }

private:
    enum class intent_kind
    {
        claim,
        record,
        /// Takes a claim back, and keeps a write that may still be on its way
        /// from taking effect.
        release
    };
    struct intent
    {
        intent_kind what{};
        ticket who{};
        std::string digest;
        std::string token;
        support::time_point deadline;
        call_outcome outcome;
        /// Part of the write in flight.
        bool in_write = false;
        /// A write that was not answered may hold this claim.
        bool maybe_written = false;
    };
    enum class shard_phase
    {
        idle,
        reading,
        writing
    };
    struct shard_work
    {
        shard_phase phase = shard_phase::idle;
        std::deque<intent> intents;
        support::time_point not_before;
        support::duration backoff{};
    };
    struct open_claim
    {
        std::string digest;
        std::string token;
    };
    /// One pass over a shard's intents.
    struct pass;
    using actions = std::vector<claim_action>;

    std::string next_id();
    actions add_intent(intent added, const instant& at);
    void pump(shard_id shard, const instant& at, actions& into);
    void pump_all(const instant& at, actions& into);
    void apply(intent& wanted, pass& current);
    void apply_claim(intent& wanted, pass& current);
    void apply_record(const intent& wanted, pass& current);
    bool admit_claim(intent& written, const instant& at, actions& into);
    void give_up(intent& wanted, support::refusal why, actions& into);
    void
    refuse_unwritten(shard_work& work, std::string_view detail, actions& into);
    static void back_off(shard_work& work, const instant& at);

    std::string owner_;
    support::duration retention_;
    std::uint64_t last_id_ = 0;
    std::map<shard_id, shard_work> shards_;
    std::map<ticket, open_claim> admitted_;
};

} // namespace galenarudder::once
