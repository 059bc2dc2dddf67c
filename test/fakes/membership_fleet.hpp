/// \file
/// Membership cores joined by an in-memory datagram fake with delay, loss and
/// partitions, on a clock of its own.
#pragma once

#include "galenarudder/membership/member.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenarudder::fakes {

using support::milliseconds;

struct fleet_options
{
    std::size_t members = 3;
    std::size_t domains = 3;
    double loss = 0;
    milliseconds delay{3};
    std::uint64_t seed = 1;
    /// Introducers that everyone knows: the first few members.
    std::size_t introducers = 3;
    /// Whether everyone knows everyone from the start.
    bool acquainted = false;
};

/// One process of a member; null when it does not run.
struct slot
{
    std::unique_ptr<membership::member> core;
    membership::member_record first;
    bool paused = false;
    unsigned side = 0;
    std::uint64_t ticks = 0;
};

class membership_fleet
{
public:
    explicit membership_fleet(const fleet_options& options)
        : options_(options), random_(options.seed)
    {
        for (std::size_t index = 0; index < options.members; ++index)
            add();
        if (!options.acquainted)
            return;
        std::vector<membership::member_record> all;
        for (const slot& one : slots_)
            all.push_back(one.first);
        for (const slot& one : slots_)
            one.core->load(all, now_);
    }

    /// Adds one more member and starts it; returns its index.
    std::size_t add()
    {
        const std::size_t index = slots_.size();
        membership::member_record record;
        record.id = "member-" + std::to_string(index);
        record.state = membership::member_state::alive;
        const std::string address = "10.0." + std::to_string(index / 250) +
                                    "." + std::to_string(index % 250 + 1);
        record.gossip = {address, 7103};
        record.link = {address, 7102};
        record.operators = {address, 7105};
        record.domain = "domain-" + std::to_string(index % options_.domains);
        record.service = "service-" + std::to_string(index % 180);
        record.slots = 9;
        by_address_[address] = index;
        slots_.emplace_back();
        slots_.back().first = record;
        start(index);
        return index;
    }

    /// Starts or restarts a member's process with a new incarnation.
    void start(std::size_t index)
    {
        slot& started = slots_[index];
        started.first.incarnation = 1000 + wall_offset_ + now_ms();
        std::vector<config::endpoint> introducers;
        for (std::size_t known = 0; known < options_.introducers; ++known) {
            if (known != index && known < slots_.size())
                introducers.push_back(slots_[known].first.gossip);
        }
        started.core = std::make_unique<membership::member>(
            started.first, introducers, keys, random_());
        ++started.ticks;
        schedule_tick(index, support::uniform_below(random_, 100));
    }

    /// Ends a member's process without a word.
    void crash(std::size_t index)
    {
        slots_[index].core.reset();
        ++slots_[index].ticks;
    }

    void update(std::size_t index, const membership::member_record& self)
    {
        perform(index, slots_[index].core->update_self(self, now_));
    }

    void set_state(std::size_t index, membership::member_state state)
    {
        membership::member_record self = core(index).self();
        self.state = state;
        update(index, self);
    }

    /// Runs for a span, or until \p done, asked every 50 ms, holds. Returns
    /// the time that passed.
    support::duration run(support::duration span,
                          const std::function<bool()>& done = {})
    {
        const support::time_point begun = now_;
        const support::time_point end = now_ + span;
        support::time_point next_check = now_;
        while (now_ < end) {
            if (done && now_ >= next_check) {
                if (done())
                    break;
                next_check = now_ + milliseconds(50);
            }
            if (events_.empty() || events_.top().at > end) {
                now_ = end;
                break;
            }
            event next = events_.top();
            events_.pop();
            now_ = std::max(now_, next.at);
            handle(next);
        }
        return now_ - begun;
    }

    /// Whether all running members, but \p except, show \p index in \p state.
    bool all_see(std::size_t index, membership::member_state state) const
    {
        const std::string& id = slots_[index].first.id;
        for (std::size_t other = 0; other < slots_.size(); ++other) {
            if (other == index || !slots_[other].core || slots_[other].paused)
                continue;
            const membership::member_record* seen =
                slots_[other].core->find(id);
            if (seen == nullptr || seen->state != state)
                return false;
        }
        return true;
    }

    /// Whether all running members count \p live present members.
    bool all_count(std::size_t live) const
    {
        for (const slot& one : slots_) {
            if (one.core && !one.paused && one.core->live_count() != live)
                return false;
        }
        return true;
    }

    /// Sum of one counter over all running members.
    std::uint64_t total(std::uint64_t membership::member_counters::*what) const
    {
        std::uint64_t sum = 0;
        for (const slot& one : slots_)
            sum += one.core ? one.core->counters().*what : 0;
        return sum;
    }

    membership::member& core(std::size_t index) { return *slots_[index].core; }
    slot& at(std::size_t index) { return slots_[index]; }
    std::size_t size() const { return slots_.size(); }
    support::time_point now() const { return now_; }
    void set_loss(double loss) { options_.loss = loss; }
    /// Moves what members read as the wall clock at their start.
    void set_wall_offset(std::uint64_t offset) { wall_offset_ = offset; }

    /// Sees each datagram that is sent, with sender's and receiver's index.
    std::function<void(std::size_t, std::size_t, const std::string&)> tap;
    std::vector<config::shared_key> keys{{"k1", "a-secret-of-the-tests"}};

private:
    struct event
    {
        support::time_point at;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::size_t from = 0;
        /// Empty for a tick.
        std::string payload;
        std::uint64_t ticks = 0;

        friend bool operator<(const event& left, const event& right)
        {
            return left.at != right.at ? left.at > right.at
                                       : left.order > right.order;
        }
    };

    std::uint64_t now_ms() const
    {
        return static_cast<std::uint64_t>(
            support::to_ms(now_.time_since_epoch()));
    }

    void schedule_tick(std::size_t index, std::uint64_t in_ms)
    {
        events_.push({now_ + milliseconds(in_ms), ++order_, index, index, "",
                      slots_[index].ticks});
    }

    void handle(const event& next)
    {
        slot& receiver = slots_[next.to];
        if (!receiver.core)
            return;
        if (next.payload.empty()) {
            if (next.ticks != receiver.ticks)
                return;
            schedule_tick(next.to, 100);
            if (!receiver.paused)
                perform(next.to, receiver.core->on_tick(now_));
            return;
        }
        if (receiver.paused || receiver.side != slots_[next.from].side)
            return;
        perform(next.to,
                receiver.core->on_datagram(slots_[next.from].first.gossip,
                                           next.payload, now_));
    }

    void perform(std::size_t from, std::vector<membership::action> actions)
    {
        for (membership::action& action : actions) {
            auto* sent = std::get_if<membership::send_datagram>(&action);
            if (sent == nullptr)
                continue;
            const auto to = by_address_.find(sent->to.address);
            if (to == by_address_.end())
                continue;
            if (tap)
                tap(from, to->second, sent->payload);
            if (support::uniform_unit(random_) < options_.loss)
                continue;
            const support::duration delay =
                support::from_ms(support::to_ms(options_.delay) *
                                 (0.75 + 0.5 * support::uniform_unit(random_)));
            events_.push({now_ + delay, ++order_, to->second, from,
                          std::move(sent->payload), 0});
        }
    }

    fleet_options options_;
    support::random_engine random_;
    std::vector<slot> slots_;
    std::unordered_map<std::string, std::size_t> by_address_;
    std::priority_queue<event> events_;
    support::time_point now_{milliseconds(1000)};
    std::uint64_t order_ = 0;
    std::uint64_t wall_offset_ = 0;
};

} // namespace galenarudder::fakes
