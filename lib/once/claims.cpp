// Each store answer leads to one pass over the shard's intents. An intent is
// judged afresh by what the store holds, so a lost answer needs no case of
// its own: the read that follows shows whether the token is there.
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
/// Size that a claim is counted with before it is encoded.
constexpr std::size_t claim_bytes = 128;

refusal store_unavailable(std::string_view detail)
{
    return {refusal_kind::store_unavailable, run_outcome::not_run, true,
            store_retry_after, std::string(detail)};
}

refusal too_late()
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

refusal ended_unknown()
{
    return {refusal_kind::upstream_failed, run_outcome::unknown, true,
            support::milliseconds(0),
            "the first call with this key failed after it had been started"};
}

std::uint64_t whole_ms(support::duration span)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<support::milliseconds>(span).count());
}

} // namespace

struct claims::pass
{
    const instant& at;
    actions& into;
    claim_shard shard;
    std::size_t bytes = 0;
    bool changed = false;
    /// Claims that this pass added; they are not in the store yet.
    std::set<std::string, std::less<>> added;
    /// Set by the intent at hand when nothing is left to do for it.
    bool settled = false;
};

claims::claims(std::string owner, support::duration retention)
    : owner_(std::move(owner)), retention_(retention)
{
}

std::string claims::next_id()
{
    return owner_ + "-" + std::to_string(++last_id_);
}

std::vector<claim_action> claims::on_call(const claim_request& arrived,
                                          const instant& at)
{
    if (arrived.deadline <= at.now)
        return {refuse_claim{arrived.who, too_late()}};
    intent wanted;
    wanted.what = intent_kind::claim;
    wanted.who = arrived.who;
    wanted.digest = claim_digest(arrived.service, arrived.key);
    wanted.token = next_id();
    wanted.deadline = arrived.deadline;
    return add_intent(std::move(wanted), at);
}

std::vector<claim_action>
claims::on_outcome(ticket who, call_outcome outcome, const instant& at)
{
    const auto found = admitted_.find(who);
    assert(found != admitted_.end() && "only an admitted call has an outcome");
    intent wanted;
    wanted.what = outcome.how == call_outcome::kind::not_run
                      ? intent_kind::release
                      : intent_kind::record;
    wanted.who = who;
    wanted.digest = std::move(found->second.digest);
    wanted.token = std::move(found->second.token);
    wanted.outcome = std::move(outcome);
    admitted_.erase(found);
    return add_intent(std::move(wanted), at);
}

std::vector<claim_action> claims::on_abandoned(ticket who, const instant& at)
{
    actions into;
    for (auto& [shard, work] : shards_) {
        const auto found = std::find_if(
            work.intents.begin(), work.intents.end(), [&](const intent& each) {
                return each.what == intent_kind::claim && each.who == who;
            });
        if (found == work.intents.end())
            continue;
        give_up(*found,
                {refusal_kind::canceled, run_outcome::not_run, true,
                 support::milliseconds(0), "the caller gave the call up"},
                into);
        if (found->what == intent_kind::claim)
            work.intents.erase(found);
        break;
    }
    pump_all(at, into);
    return into;
}

std::vector<claim_action> claims::add_intent(intent added, const instant& at)
{
    const shard_id shard = shard_of(added.digest);
    shards_[shard].intents.push_back(std::move(added));
    actions into;
    pump(shard, at, into);
    return into;
}

void claims::pump(shard_id shard, const instant& at, actions& into)
{
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    shard_work& work = found->second;
    if (work.phase != shard_phase::idle)
        return;
    if (work.intents.empty()) {
        shards_.erase(found);
        return;
    }
    if (at.now < work.not_before)
        return;
    work.phase = shard_phase::reading;
    into.emplace_back(read_shard{shard});
}

void claims::pump_all(const instant& at, actions& into)
{
    std::vector<shard_id> known;
    known.reserve(shards_.size());
    for (const auto& [shard, work] : shards_)
        known.push_back(shard);
    for (const shard_id shard : known)
        pump(shard, at, into);
}

std::vector<claim_action> claims::on_read(shard_id shard,
                                          std::string_view value,
                                          std::uint64_t index,
                                          const instant& at)
{
    auto decoded = claim_shard::decode(value);
    if (!decoded)
        return on_read_failed(shard, at);
    actions into;
    shard_work& work = shards_.at(shard);
    assert(work.phase == shard_phase::reading && "a read was asked for");
    work.phase = shard_phase::idle;
    pass current{at, into, std::move(decoded).value(), value.size()};
    if (current.shard.drop_expired(at.wall_ms) > 0)
        current.bytes = current.shard.encode({}).size();
    std::deque<intent> kept;
    for (intent& wanted : work.intents) {
        current.settled = false;
        apply(wanted, current);
        if (!current.settled)
            kept.push_back(std::move(wanted));
    }
    work.intents = std::move(kept);
    if (!current.changed) {
        pump(shard, at, into);
        return into;
    }
    work.phase = shard_phase::writing;
    into.emplace_back(
        write_shard{shard, current.shard.encode(next_id()), index});
    return into;
}

void claims::apply(intent& wanted, pass& current)
{
    switch (wanted.what) {
    case intent_kind::claim:
        apply_claim(wanted, current);
        return;
    case intent_kind::record:
        apply_record(wanted, current);
        break;
    case intent_kind::release: {
        const claim_record* held = current.shard.find(wanted.digest);
        if (held != nullptr && held->token == wanted.token)
            current.shard.erase(wanted.digest);
        break;
    }
    }
    // Written even if nothing changes: the new index keeps an earlier write
    // that is still on its way from being taken.
    wanted.in_write = true;
    current.changed = true;
}

void claims::apply_claim(intent& wanted, pass& current)
{
    const claim_record* held = current.shard.find(wanted.digest);
    if (held != nullptr && current.added.contains(wanted.digest))
        return;
    if (held != nullptr && held->token == wanted.token) {
        current.settled = admit_claim(wanted, current.at, current.into);
        return;
    }
    if (held != nullptr) {
        current.settled = true;
        if (held->state == claim_state::answered)
            current.into.emplace_back(replay{wanted.who, held->outcome});
        else if (held->state == claim_state::running)
            current.into.emplace_back(
                refuse_claim{wanted.who, already_running()});
        else
            current.into.emplace_back(
                refuse_claim{wanted.who, ended_unknown()});
        return;
    }
    if (current.bytes + claim_bytes > full_shard_bytes) {
        give_up(wanted,
                store_unavailable("the store's value for this key is full of "
                                  "claims that have not expired"),
                current.into);
        current.settled = wanted.what == intent_kind::claim;
        return;
    }
    claim_record record;
    record.token = wanted.token;
    record.expires_ms = current.at.wall_ms + whole_ms(retention_);
    current.shard.put(wanted.digest, std::move(record));
    current.added.insert(wanted.digest);
    current.bytes += claim_bytes;
    current.changed = true;
    wanted.in_write = true;
}

void claims::apply_record(const intent& wanted, pass& current)
{
    const claim_record* held = current.shard.find(wanted.digest);
    if (held == nullptr || held->token != wanted.token)
        return;
    claim_record record = *held;
    const bool answered = wanted.outcome.how == call_outcome::kind::answered;
    record.state = answered ? claim_state::answered : claim_state::unknown;
    record.outcome = wanted.outcome.answer;
    const std::size_t body_bytes = record.outcome.body.size();
    const bool fits = body_bytes <= max_kept_body_bytes &&
                      current.bytes + body_bytes <= no_body_shard_bytes;
    if (!answered || !fits) {
        record.outcome.body_kept = false;
        record.outcome.body.clear();
    }
    current.bytes += record.outcome.body.size();
    current.shard.put(wanted.digest, std::move(record));
}

std::vector<claim_action> claims::on_read_failed(shard_id shard,
                                                 const instant& at)
{
    actions into;
    shard_work& work = shards_.at(shard);
    work.phase = shard_phase::idle;
    refuse_unwritten(work, "the platform's store cannot be read", into);
    back_off(work, at);
    pump(shard, at, into);
    return into;
}

std::vector<claim_action>
claims::on_write(shard_id shard, write_result how, const instant& at)
{
    actions into;
    shard_work& work = shards_.at(shard);
    assert(work.phase == shard_phase::writing && "a write was asked for");
    work.phase = shard_phase::idle;
    std::deque<intent> before = std::move(work.intents);
    work.intents.clear();
    for (intent& each : before) {
        const bool written = each.in_write && how == write_result::swapped;
        each.maybe_written = each.maybe_written ||
                             (each.in_write && how == write_result::unknown);
        each.in_write = false;
        const bool settled = written && (each.what != intent_kind::claim ||
                                         admit_claim(each, at, into));
        if (!settled)
            work.intents.push_back(std::move(each));
    }
    if (how == write_result::swapped)
        work.backoff = support::duration(0);
    if (how == write_result::not_sent)
        refuse_unwritten(work, "the platform's store cannot be reached", into);
    if (how == write_result::not_sent || how == write_result::unknown)
        back_off(work, at);
    pump(shard, at, into);
    return into;
}

/// The claim is in the store. Returns whether that settles it: one that came
/// too late is taken back.
bool claims::admit_claim(intent& written, const instant& at, actions& into)
{
    if (at.now >= written.deadline) {
        into.emplace_back(refuse_claim{written.who, too_late()});
        written.what = intent_kind::release;
        return false;
    }
    admitted_[written.who] = {written.digest, written.token};
    into.emplace_back(admit{written.who});
    return true;
}

/// Refuses a claim. It stays as a release if a write may hold it.
void claims::give_up(intent& wanted, refusal why, actions& into)
{
    into.emplace_back(refuse_claim{wanted.who, std::move(why)});
    if (!wanted.in_write && !wanted.maybe_written)
        return;
    wanted.what = intent_kind::release;
    wanted.in_write = false;
}

/// While the store is down claims are refused at once. One that may have been
/// written is refused at its deadline, if the store stays down until then.
void claims::refuse_unwritten(shard_work& work,
                              std::string_view detail,
                              actions& into)
{
    std::erase_if(work.intents, [&](const intent& each) {
        const bool refused =
            each.what == intent_kind::claim && !each.maybe_written;
        if (refused)
            into.emplace_back(
                refuse_claim{each.who, store_unavailable(detail)});
        return refused;
    });
}

void claims::back_off(shard_work& work, const instant& at)
{
    work.backoff = std::clamp<support::duration>(
        2 * work.backoff, first_backoff, longest_backoff);
    work.not_before = at.now + work.backoff;
}

std::vector<claim_action> claims::on_tick(const instant& at)
{
    actions into;
    for (auto& [shard, work] : shards_) {
        std::deque<intent> kept;
        for (intent& each : work.intents) {
            const bool late =
                each.what == intent_kind::claim && each.deadline <= at.now;
            if (late)
                give_up(each, too_late(), into);
            if (!late || each.what == intent_kind::release)
                kept.push_back(std::move(each));
        }
        work.intents = std::move(kept);
    }
    pump_all(at, into);
    return into;
}

} // namespace galenarudder::once
