/// \file
/// A simulated clock that jumps from one scheduled event to the next.
#pragma once

#include "galenarudder/support/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <new>
#include <type_traits>
#include <utility>
#include <vector>

namespace galenarudder::replay {

/// Runs events by time, those of equal time in the order in which they were
/// scheduled.
///
/// Events stay in slots that are used again, and the heap holds only their
/// positions: most of the time of a run would otherwise go into allocating
/// events and moving them in the heap.
class timeline
{
public:
    timeline() = default;
    timeline(const timeline&) = delete;
    timeline& operator=(const timeline&) = delete;
    ~timeline()
    {
        for (const scheduled_event& left : queue_)
            end(slots_[left.slot]);
    }

    support::time_point now() const { return now_; }
    bool empty() const { return queue_.empty(); }

    /// \param event Called once, without arguments.
    template <typename Event>
    void at(support::time_point time, Event&& event)
    {
        const std::size_t position = take_slot();
        put(slots_[position], std::forward<Event>(event));
        slots_[position].number = ++last_number_;
        queue_.push_back({time, position});
        std::push_heap(queue_.begin(), queue_.end(), runs_later{slots_});
    }
    template <typename Event>
    void after(double ms, Event&& event)
    {
        at(now_ + support::from_ms(ms), std::forward<Event>(event));
    }
    void run_next()
    {
        std::pop_heap(queue_.begin(), queue_.end(), runs_later{slots_});
        const scheduled_event next = queue_.back();
        queue_.pop_back();
        now_ = next.time;
        slot& used = slots_[next.slot];
        used.run(used.storage.data());
        end(used);
        free_slots_.push_back(next.slot);
    }

private:
    /// Fits an attempt on its way to a gate, the largest event.
    static constexpr std::size_t slot_bytes = 320;

    struct slot
    {
        alignas(std::max_align_t) std::array<std::byte, slot_bytes> storage;
        void (*run)(void*) = nullptr;
        void (*destroy)(void*) = nullptr;
        /// Position in the order in which events were scheduled.
        std::uint64_t number = 0;
    };

    struct scheduled_event
    {
        support::time_point time;
        std::size_t slot = 0;
    };

    /// The order of the heap, whose functions put the largest first.
    struct runs_later
    {
        const std::deque<slot>& slots;

        bool operator()(const scheduled_event& left,
                        const scheduled_event& right) const
        {
            if (left.time != right.time)
                return left.time > right.time;
            return slots[left.slot].number > slots[right.slot].number;
        }
    };

    std::size_t take_slot()
    {
        if (free_slots_.empty()) {
            slots_.emplace_back();
            return slots_.size() - 1;
        }
        const std::size_t position = free_slots_.back();
        free_slots_.pop_back();
        return position;
    }

    template <typename Event>
    static void put(slot& target, Event&& event)
    {
        using stored = std::decay_t<Event>;
        static_assert(sizeof(stored) <= slot_bytes);
        ::new (target.storage.data()) stored(std::forward<Event>(event));
        target.run = [](void* data) { (*static_cast<stored*>(data))(); };
        target.destroy = [](void* data) {
            static_cast<stored*>(data)->~stored();
        };
    }

    static void end(slot& used) { used.destroy(used.storage.data()); }

    /// Starts away from the epoch, which means "never" in other components.
    support::time_point now_{std::chrono::hours(1)};
    std::uint64_t last_number_ = 0;
    /// A heap.
    std::vector<scheduled_event> queue_;
    /// Not a vector: events schedule others while they run in their slot.
    std::deque<slot> slots_;
    std::vector<std::size_t> free_slots_;
};

} // namespace galenarudder::replay
