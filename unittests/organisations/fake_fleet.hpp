// Limiters of several members in simulated time, with a network that loses,
// delays and repeats messages and that can be cut along any links.
#pragma once

#include "galenarudder/organisations/limiter.hpp"

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace galenarudder::organisations {

using namespace std::chrono_literals;

class fake_fleet
{
public:
    struct member
    {
        std::unique_ptr<limiter> machine;
        support::duration clock_offset{};
        support::duration started_at{};
        bool running = true;
        bool left = false;
    };
    using link_test = std::function<bool(std::size_t, std::size_t)>;

    fake_fleet(organisation_rate limited, tolerance allowed, std::uint64_t seed)
        : rate(limited), allowed_(allowed), random(seed)
    {
        at(100ms, [this] { tick(); });
    }

    void start(std::size_t index)
    {
        if (index >= members.size())
            members.resize(index + 1);
        member& started = members[index];
        started.running = true;
        started.left = false;
        started.started_at = now;
        started.clock_offset = std::chrono::seconds(random() % 100'000);
        started.machine = std::make_unique<limiter>(
            "member-" + std::to_string(index), peer_expectation::certain,
            allowed_, random());
        started.machine->configure({&rate, 1}, local(index));
    }
    void set_rate(double calls_per_s)
    {
        rate.calls_per_s = calls_per_s;
        for (std::size_t index = 0; index < members.size(); ++index)
            members[index].machine->configure({&rate, 1}, local(index));
    }

    /// Sends calls to the members of \p entries until \p end.
    void demand(double per_s,
                const std::vector<std::size_t>& entries,
                support::duration end)
    {
        if (now >= end)
            return;
        const std::size_t entry = entries[random() % entries.size()];
        if (members[entry].running)
            call(entry);
        const double gap_ms =
            std::exponential_distribution<>(per_s / 1000)(random);
        at(now + support::from_ms(gap_ms),
           [=, this] { demand(per_s, entries, end); });
    }

    void run_until(support::duration end)
    {
        while (!events.empty() && events.begin()->first <= end) {
            now = events.begin()->first;
            const auto event = std::move(events.begin()->second);
            events.erase(events.begin());
            event();
        }
        now = end;
    }
    void at(support::duration time, std::function<void()> event)
    {
        events.emplace(time, std::move(event));
    }

    organisation_rate rate;
    std::vector<member> members;
    link_test connected = [](std::size_t, std::size_t) { return true; };
    /// Whether members see those as live that a third one can reach.
    bool indirect_probes = true;
    double loss = 0;
    double duplicates = 0;
    double max_delay_ms = 6;
    /// A member that starts is known to each other one after a random time up
    /// to this one.
    support::duration max_view_delay{};
    support::duration now{};
    std::uint64_t refused = 0;
    std::uint64_t admitted = 0;
    std::map<refusal_cause, std::uint64_t> refused_by_cause;
    std::size_t most_in_window = 0;
    std::uint64_t messages = 0;

private:
    static constexpr support::duration detection = 2s;

    support::time_point local(std::size_t index) const
    {
        return support::time_point(now + members[index].clock_offset);
    }

    void call(std::size_t entry)
    {
        limiter& machine = *members[entry].machine;
        const organisation_hash hash = hash_of(rate.name);
        const admission decision = machine.admit(hash, local(entry));
        count(decision);
        execute(entry, machine.flush(local(entry)));
        if (decision.result != verdict::waiting)
            return;
        at(now + resend_time, [=, this, waited = &machine] {
            if (members[entry].machine.get() != waited)
                return;
            waited->on_reply_late(hash, decision.call);
            execute(entry, waited->flush(local(entry)));
        });
        at(now + reply_time, [=, this, waited = &machine] {
            // The member may have been restarted.
            if (members[entry].machine.get() == waited)
                count(waited->on_wait_over(hash, decision.call, local(entry)));
        });
    }

    void count(const admission& decision)
    {
        if (decision.result == verdict::refused) {
            ++refused;
            ++refused_by_cause[decision.cause];
        }
        if (decision.result != verdict::admitted)
            return;
        ++admitted;
        passed.push_back(now);
        while (now - passed.front() >= allowed_.window)
            passed.pop_front();
        most_in_window = std::max(most_in_window, passed.size());
    }

    void execute(std::size_t from, const std::vector<action>& actions)
    {
        for (const action& taken : actions) {
            if (const auto* decided = std::get_if<call_decided>(&taken)) {
                count(decided->decision);
                continue;
            }
            const auto& sent = std::get<send_message>(taken);
            ++messages;
            const std::size_t to = std::stoul(sent.to.substr(7));
            const std::size_t copies = 1 + (unit() < duplicates);
            for (std::size_t copy = 0; copy < copies; ++copy) {
                const bool lost = unit() < loss || !connected(from, to);
                if (lost)
                    continue;
                const double late_ms = copy * 100 * unit();
                at(now + support::from_ms(unit() * max_delay_ms + late_ms),
                   [=, this] {
                       if (!members[to].running)
                           return;
                       execute(to, members[to].machine->on_message(
                                       "member-" + std::to_string(from),
                                       sent.payload, local(to)));
                   });
            }
        }
    }

    bool is_seen(std::size_t viewer, std::size_t seen) const
    {
        if (!members[seen].running)
            return false;
        if (connected(viewer, seen) || !indirect_probes)
            return connected(viewer, seen);
        for (std::size_t third = 0; third < members.size(); ++third) {
            if (members[third].running && connected(viewer, third) &&
                connected(third, seen))
                return true;
        }
        return false;
    }

    support::duration known_from(std::size_t viewer, std::size_t seen) const
    {
        if (max_view_delay == support::duration() || viewer == seen)
            return {};
        const auto both_run =
            std::max(members[viewer].started_at, members[seen].started_at);
        const std::string pair =
            std::to_string(viewer) + "/" + std::to_string(seen);
        return both_run + max_view_delay * (hash_of(pair) % 1000) / 1000;
    }

    void tick()
    {
        for (std::size_t viewer = 0; viewer < members.size(); ++viewer) {
            if (!members[viewer].running)
                continue;
            std::vector<observed_member> view;
            for (std::size_t seen = 0; seen < members.size(); ++seen) {
                auto& last_seen = last_seen_[{viewer, seen}];
                if (is_seen(viewer, seen) && now >= known_from(viewer, seen))
                    last_seen = now;
                // A restarted member learns of no absent members.
                if (last_seen == support::duration())
                    continue;
                const bool live = now - last_seen < detection;
                view.push_back({"member-" + std::to_string(seen),
                                members[seen].left ? presence::left
                                : live             ? presence::live
                                                   : presence::absent});
            }
            limiter& machine = *members[viewer].machine;
            execute(viewer, machine.on_members(view, local(viewer)));
            execute(viewer, machine.on_tick(local(viewer)));
        }
        at(now + 100ms, [this] { tick(); });
    }

    double unit() { return support::uniform_unit(random); }

public:
    void forget_views(std::size_t viewer)
    {
        std::erase_if(last_seen_, [&](const auto& entry) {
            return entry.first.first == viewer;
        });
    }

private:
    tolerance allowed_;
    support::random_engine random;
    std::multimap<support::duration, std::function<void()>> events;
    std::deque<support::duration> passed;
    std::map<std::pair<std::size_t, std::size_t>, support::duration> last_seen_;
};

} // namespace galenarudder::organisations
