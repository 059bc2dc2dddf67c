// After each read all pending operations of the shard are applied to the value
// that the store holds. A lost reply to a write therefore needs no handling of
// its own: the next read shows whether the claim's token is in the store.
#include "galenarudder/once/claims.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace galenarudder::once {

using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr support::milliseconds first_backoff{50};
constexpr support::milliseconds longest_backoff{2'000};
constexpr support::milliseconds store_retry_after{1'000};
constexpr support::milliseconds running_retry_after{1'000};
/// Estimated size of a new claim, added to the shard's size before encoding.
constexpr std::size_t estimated_claim_bytes = 128;

refusal store_unavailable(std::string_view detail)
{
    return {refusal_kind::store_unavailable, run_outcome::not_run, true,
            store_retry_after, std::string(detail)};
}

refusal deadline_passed()
{
    return {refusal_kind::deadline_exceeded, run_outcome::not_run, true,
            support::milliseconds(0),
            "the claim of the key was not written before the deadline"};
}

refusal already_running()
{
    return {refusal_kind::already_running, run_outcome::unknown, true,
            running_retry_after,
            "a call with this key was started and has not been seen to end"};
}

refusal first_call_failed()
{
    return {refusal_kind::upstream_failed, run_outcome::unknown, true,
            support::milliseconds(0),
            "the first call with this key failed after it had been started"};
}

std::uint64_t to_milliseconds(support::duration time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<support::milliseconds>(time).count());
}

} // namespace

struct claims::shard_update
{
    const instant& now;
    action_list& actions;
    claim_shard shard;
    /// Estimated size of the encoded shard.
    std::size_t bytes = 0;
    /// Whether the shard has to be written.
    bool changed = false;
    /// Digests of the claims that this update adds; the store does not have
    /// them yet.
    std::set<std::string, std::less<>> added;
    /// Whether the operation just applied is complete without a write.
    bool completed_without_write = false;
};

claims::claims(std::string owner, support::duration retention)
    : owner_(std::move(owner)), retention_(retention)
{
}

std::string claims::next_unique_id()
{
    return owner_ + "-" + std::to_string(++last_id_);
}

std::vector<claim_action> claims::on_call(const claim_request& request,
                                          const instant& now)
{
    if (request.deadline <= now.monotonic)
        return {refuse_claim{request.id, deadline_passed()}};
    pending_operation operation;
    operation.kind = operation_kind::claim;
    operation.request = request.id;
    operation.digest = claim_digest(request.service, request.key);
    operation.token = next_unique_id();
    operation.deadline = request.deadline;
    operation.lookup = request.lookup;
    return enqueue(std::move(operation), now);
}

std::vector<claim_action> claims::on_outcome(claim_request_id request,
                                             call_outcome outcome,
                                             const instant& now)
{
    const auto found = admitted_.find(request);
    assert(found != admitted_.end() && "only an admitted call has an outcome");
    pending_operation operation;
    operation.kind = outcome.result == call_outcome::kind::not_run
                         ? operation_kind::release
                         : operation_kind::record;
    operation.request = request;
    operation.digest = std::move(found->second.digest);
    operation.token = std::move(found->second.token);
    operation.outcome = std::move(outcome);
    admitted_.erase(found);
    return enqueue(std::move(operation), now);
}

std::vector<claim_action> claims::on_abandoned(claim_request_id request,
                                               const instant& now)
{
    action_list actions;
    for (auto& [shard, state] : shards_) {
        const auto found =
            std::find_if(state.operations.begin(), state.operations.end(),
                         [&](const pending_operation& operation) {
                             return operation.kind == operation_kind::claim &&
                                    operation.request == request;
                         });
        if (found == state.operations.end())
            continue;
        refuse(*found,
               {refusal_kind::canceled, run_outcome::not_run, true,
                support::milliseconds(0), "the caller gave the call up"},
               actions);
        if (found->kind == operation_kind::claim)
            state.operations.erase(found);
        break;
    }
    start_reads(now, actions);
    return actions;
}

std::vector<claim_action> claims::enqueue(pending_operation operation,
                                          const instant& now)
{
    const shard_id shard = shard_of(operation.digest);
    shards_[shard].operations.push_back(std::move(operation));
    action_list actions;
    start_read(shard, now, actions);
    return actions;
}

void claims::start_read(shard_id shard,
                        const instant& now,
                        action_list& actions)
{
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    shard_state& state = found->second;
    if (state.phase != shard_phase::idle)
        return;
    if (state.operations.empty()) {
        shards_.erase(found);
        return;
    }
    if (now.monotonic < state.retry_at)
        return;
    state.phase = shard_phase::reading;
    actions.emplace_back(read_shard{shard});
}

void claims::start_reads(const instant& now, action_list& actions)
{
    std::vector<shard_id> shards;
    shards.reserve(shards_.size());
    for (const auto& [shard, state] : shards_)
        shards.push_back(shard);
    for (const shard_id shard : shards)
        start_read(shard, now, actions);
}

std::vector<claim_action> claims::on_read(shard_id shard,
                                          std::string_view value,
                                          const store::change_index& index,
                                          const instant& now)
{
    auto decoded = claim_shard::decode(value);
    if (!decoded)
        return on_read_failed(shard, now);
    action_list actions;
    shard_state& state = shards_.at(shard);
    assert(state.phase == shard_phase::reading && "a read was asked for");
    state.phase = shard_phase::idle;
    shard_update update{now, actions, std::move(decoded).value(), value.size()};
    if (update.shard.drop_expired(now.wall_ms) > 0)
        update.bytes = update.shard.encode({}).size();
    std::deque<pending_operation> remaining;
    for (pending_operation& operation : state.operations) {
        update.completed_without_write = false;
        apply(operation, update);
        if (!update.completed_without_write)
            remaining.push_back(std::move(operation));
    }
    state.operations = std::move(remaining);
    if (!update.changed) {
        start_read(shard, now, actions);
        return actions;
    }
    state.phase = shard_phase::writing;
    actions.emplace_back(
        write_shard{shard, update.shard.encode(next_unique_id()), index});
    return actions;
}

void claims::apply(pending_operation& operation, shard_update& update)
{
    switch (operation.kind) {
    case operation_kind::claim:
        apply_claim(operation, update);
        return;
    case operation_kind::record:
        apply_record(operation, update);
        break;
    case operation_kind::release: {
        const claim_record* existing = update.shard.find(operation.digest);
        if (existing != nullptr && existing->token == operation.token)
            update.shard.erase(operation.digest);
        break;
    }
    }
    // Written even if nothing changes: the new index makes an earlier write
    // that is still in flight fail its compare-and-swap.
    operation.in_current_write = true;
    update.changed = true;
}

void claims::apply_claim(pending_operation& operation, shard_update& update)
{
    const claim_record* existing = update.shard.find(operation.digest);
    if (existing != nullptr && update.added.contains(operation.digest))
        return;
    if (existing != nullptr && existing->token == operation.token) {
        update.completed_without_write =
            admit_or_release(operation, update.now, update.actions);
        return;
    }
    if (existing != nullptr) {
        update.completed_without_write = true;
        if (existing->state == claim_state::answered)
            update.actions.emplace_back(
                replay{operation.request, existing->outcome});
        else if (existing->state == claim_state::running)
            update.actions.emplace_back(
                refuse_claim{operation.request, already_running()});
        else
            update.actions.emplace_back(
                refuse_claim{operation.request, first_call_failed()});
        return;
    }
    if (operation.lookup) {
        update.completed_without_write = true;
        update.actions.emplace_back(
            refuse_claim{operation.request, already_running()});
        return;
    }
    if (update.bytes + estimated_claim_bytes > max_shard_bytes_for_claims) {
        refuse(operation,
               store_unavailable("the store's value for this key is full of "
                                 "claims that have not expired"),
               update.actions);
        update.completed_without_write =
            operation.kind == operation_kind::claim;
        return;
    }
    claim_record record;
    record.token = operation.token;
    record.expires_ms = update.now.wall_ms + to_milliseconds(retention_);
    update.shard.put(operation.digest, std::move(record));
    update.added.insert(operation.digest);
    update.bytes += estimated_claim_bytes;
    update.changed = true;
    operation.in_current_write = true;
}

void claims::apply_record(const pending_operation& operation,
                          shard_update& update)
{
    const claim_record* existing = update.shard.find(operation.digest);
    if (existing == nullptr || existing->token != operation.token)
        return;
    claim_record record = *existing;
    const bool answered =
        operation.outcome.result == call_outcome::kind::answered;
    record.state = answered ? claim_state::answered : claim_state::unknown;
    record.outcome = operation.outcome.response;
    const std::size_t body_bytes = record.outcome.body.size();
    const bool fits = body_bytes <= max_kept_body_bytes &&
                      update.bytes + body_bytes <= max_shard_bytes_for_bodies;
    if (!answered || !fits) {
        record.outcome.body_kept = false;
        record.outcome.body.clear();
    }
    update.bytes += record.outcome.body.size();
    update.shard.put(operation.digest, std::move(record));
}

std::vector<claim_action> claims::on_read_failed(shard_id shard,
                                                 const instant& now)
{
    action_list actions;
    shard_state& state = shards_.at(shard);
    state.phase = shard_phase::idle;
    refuse_unwritten(state, "the platform's store cannot be read", actions);
    back_off(state, now);
    start_read(shard, now, actions);
    return actions;
}

std::vector<claim_action>
claims::on_write(shard_id shard, write_result result, const instant& now)
{
    action_list actions;
    shard_state& state = shards_.at(shard);
    assert(state.phase == shard_phase::writing && "a write was asked for");
    state.phase = shard_phase::idle;
    std::deque<pending_operation> previous = std::move(state.operations);
    state.operations.clear();
    for (pending_operation& operation : previous) {
        const bool written =
            operation.in_current_write && result == write_result::swapped;
        operation.possibly_written =
            operation.possibly_written ||
            (operation.in_current_write && result == write_result::unknown);
        operation.in_current_write = false;
        const bool completed =
            written && (operation.kind != operation_kind::claim ||
                        admit_or_release(operation, now, actions));
        if (!completed)
            state.operations.push_back(std::move(operation));
    }
    if (result == write_result::swapped)
        state.backoff = support::duration(0);
    if (result == write_result::not_sent)
        refuse_unwritten(state, "the platform's store cannot be reached",
                         actions);
    if (result == write_result::not_sent || result == write_result::unknown)
        back_off(state, now);
    start_read(shard, now, actions);
    return actions;
}

/// Admits the call of a claim that is in the store. If the deadline has passed,
/// refuses the call, turns the claim into a release and returns false.
bool claims::admit_or_release(pending_operation& claim,
                              const instant& now,
                              action_list& actions)
{
    if (now.monotonic >= claim.deadline) {
        actions.emplace_back(refuse_claim{claim.request, deadline_passed()});
        claim.kind = operation_kind::release;
        return false;
    }
    admitted_[claim.request] = {claim.digest, claim.token};
    actions.emplace_back(admit{claim.request});
    return true;
}

/// Refuses a claim, and turns it into a release if a write may contain it.
void claims::refuse(pending_operation& operation,
                    refusal reason,
                    action_list& actions)
{
    actions.emplace_back(refuse_claim{operation.request, std::move(reason)});
    if (!operation.in_current_write && !operation.possibly_written)
        return;
    operation.kind = operation_kind::release;
    operation.in_current_write = false;
}

/// Refuses claims at once while the store is unavailable, except those that may
/// have been written: they are refused at their deadline if the store is still
/// unavailable by then.
void claims::refuse_unwritten(shard_state& state,
                              std::string_view detail,
                              action_list& actions)
{
    std::erase_if(state.operations, [&](const pending_operation& operation) {
        const bool refused = operation.kind == operation_kind::claim &&
                             !operation.possibly_written;
        if (refused)
            actions.emplace_back(
                refuse_claim{operation.request, store_unavailable(detail)});
        return refused;
    });
}

void claims::back_off(shard_state& state, const instant& now)
{
    state.backoff = std::clamp<support::duration>(
        2 * state.backoff, first_backoff, longest_backoff);
    state.retry_at = now.monotonic + state.backoff;
}

std::vector<claim_action> claims::on_tick(const instant& now)
{
    action_list actions;
    for (auto& [shard, state] : shards_) {
        std::deque<pending_operation> remaining;
        for (pending_operation& operation : state.operations) {
            const bool expired = operation.kind == operation_kind::claim &&
                                 operation.deadline <= now.monotonic;
            if (expired)
                refuse(operation, deadline_passed(), actions);
            if (!expired || operation.kind == operation_kind::release)
                remaining.push_back(std::move(operation));
        }
        state.operations = std::move(remaining);
    }
    start_reads(now, actions);
    return actions;
}

} // namespace galenarudder::once
