/// \file
/// A fleet of membership state machines over a simulated network with delay,
/// loss and partitions and a simulated clock.
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
    /// The first this many members are the introducers of all members.
    std::size_t introducers = 3;
    /// Whether each member knows all others from the start.
    bool know_each_other = false;
};

/// One member and its process; \c core is null while the process does not run.
struct simulated_process
{
    std::unique_ptr<membership::member> core;
    membership::member_record initial_record;
    bool paused = false;
    unsigned partition = 0;
    std::uint64_t tick_generation = 0;
};

class membership_fleet
{
public:
    explicit membership_fleet(const fleet_options& options)
        : options_(options), random_(options.seed)
    {
        for (std::size_t index = 0; index < options.members; ++index)
            add();
        if (!options.know_each_other)
            return;
        std::vector<membership::member_record> records;
        for (const simulated_process& process : processes_)
            records.push_back(process.initial_record);
        for (const simulated_process& process : processes_)
            process.core->add_records(records, now_);
    }

    /// Adds a member and starts it; returns its index.
    std::size_t add()
    {
        const std::size_t index = processes_.size();
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
        processes_.emplace_back();
        processes_.back().initial_record = record;
        start(index);
        return index;
    }

    /// Starts or restarts a member's process with a new incarnation.
    void start(std::size_t index)
    {
        simulated_process& process = processes_[index];
        process.initial_record.incarnation =
            1000 + wall_clock_offset_ms_ + now_ms();
        std::vector<config::endpoint> introducers;
        for (std::size_t introducer = 0; introducer < options_.introducers;
             ++introducer) {
            if (introducer != index && introducer < processes_.size())
                introducers.push_back(
                    processes_[introducer].initial_record.gossip);
        }
        process.core = std::make_unique<membership::member>(
            process.initial_record, introducers, keys, random_());
        ++process.tick_generation;
        schedule_tick(index, support::uniform_below(random_, 100));
    }

    /// Ends a member's process without a leave notice.
    void crash(std::size_t index)
    {
        processes_[index].core.reset();
        ++processes_[index].tick_generation;
    }

    void update(std::size_t index, const membership::member_record& self)
    {
        perform(index, processes_[index].core->update_self(self, now_));
    }

    /// Sends a message of another part of the daemon.
    void send_extension(std::size_t from, std::size_t to, std::string payload)
    {
        perform(from, processes_[from].core->send_extension(
                          processes_[to].initial_record.id, "test",
                          std::move(payload), now_));
    }

    void set_state(std::size_t index, membership::member_state state)
    {
        membership::member_record self = member_at(index).self();
        self.state = state;
        update(index, self);
    }

    /// Runs for \p span of simulated time, or until \p done, evaluated every
    /// 50 ms, returns true. Returns the simulated time that passed.
    support::duration run(support::duration span,
                          const std::function<bool()>& done = {})
    {
        const support::time_point begin = now_;
        const support::time_point end = now_ + span;
        support::time_point next_done_check = now_;
        while (now_ < end) {
            if (done && now_ >= next_done_check) {
                if (done())
                    break;
                next_done_check = now_ + milliseconds(50);
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
        return now_ - begin;
    }

    /// Returns whether all running members except \p index itself record it in
    /// \p state.
    bool all_record_state(std::size_t index,
                          membership::member_state state) const
    {
        const std::string& id = processes_[index].initial_record.id;
        for (std::size_t other = 0; other < processes_.size(); ++other) {
            if (other == index || !processes_[other].core ||
                processes_[other].paused)
                continue;
            const membership::member_record* record =
                processes_[other].core->find(id);
            if (record == nullptr || record->state != state)
                return false;
        }
        return true;
    }

    /// Returns whether all running members count \p live live members.
    bool all_have_live_count(std::size_t live) const
    {
        for (const simulated_process& process : processes_) {
            if (process.core && !process.paused &&
                process.core->live_count() != live)
                return false;
        }
        return true;
    }

    /// Returns the sum of one counter over all running members.
    std::uint64_t
    total(std::uint64_t membership::member_counters::*counter) const
    {
        std::uint64_t sum = 0;
        for (const simulated_process& process : processes_)
            sum += process.core ? process.core->counters().*counter : 0;
        return sum;
    }

    membership::member& member_at(std::size_t index)
    {
        return *processes_[index].core;
    }
    simulated_process& process_at(std::size_t index)
    {
        return processes_[index];
    }
    std::size_t size() const { return processes_.size(); }
    support::time_point now() const { return now_; }
    void set_loss(double loss) { options_.loss = loss; }
    /// Shifts the wall clock from which members derive their incarnation when
    /// they start.
    void set_wall_clock_offset(std::uint64_t offset_ms)
    {
        wall_clock_offset_ms_ = offset_ms;
    }

    /// Called for each datagram that is sent, lost ones included, with the
    /// indexes of sender and receiver.
    std::function<void(std::size_t, std::size_t, const std::string&)>
        on_datagram_sent;
    std::vector<config::shared_key> keys{{"k1", "a-secret-of-the-tests"}};

private:
    struct event
    {
        support::time_point at;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::size_t from = 0;
        /// The datagram; empty for a tick.
        std::string payload;
        std::uint64_t tick_generation = 0;

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
                      processes_[index].tick_generation});
    }

    void handle(const event& next)
    {
        simulated_process& receiver = processes_[next.to];
        if (!receiver.core)
            return;
        if (next.payload.empty()) {
            if (next.tick_generation != receiver.tick_generation)
                return;
            schedule_tick(next.to, 100);
            if (!receiver.paused)
                perform(next.to, receiver.core->on_tick(now_));
            return;
        }
        if (receiver.paused ||
            receiver.partition != processes_[next.from].partition)
            return;
        perform(next.to, receiver.core->on_datagram(
                             processes_[next.from].initial_record.gossip,
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
            if (on_datagram_sent)
                on_datagram_sent(from, to->second, sent->payload);
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
    std::vector<simulated_process> processes_;
    std::unordered_map<std::string, std::size_t> by_address_;
    std::priority_queue<event> events_;
    support::time_point now_{milliseconds(1000)};
    std::uint64_t order_ = 0;
    std::uint64_t wall_clock_offset_ms_ = 0;
};

} // namespace galenarudder::fakes
