/// \file
/// A shared value that is read without a lock, by userspace read-copy-update
/// (RCU). It is meant for data that is read for each call and rarely replaced.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace galenarudder::support {

namespace rcu {

/// Enter and leave a read-side critical section; sections may nest.
void read_lock();
void read_unlock();

/// Waits until all read-side critical sections that began before the call have
/// ended. Must not be called within such a section, since it would wait for
/// itself.
void synchronize();

} // namespace rcu

/// Holds a pointer to an immutable \p T. Reading takes no lock; replacing the
/// value waits until nobody reads the previous one.
template <typename T>
class rcu_cell
{
public:
    /// Keeps the value that was current at construction alive and gives access
    /// to it.
    class read_guard
    {
    public:
        explicit read_guard(const rcu_cell& cell)
        {
            rcu::read_lock();
            value_ = cell.value_.load(std::memory_order_acquire);
        }
        ~read_guard() { rcu::read_unlock(); }
        read_guard(const read_guard&) = delete;
        read_guard& operator=(const read_guard&) = delete;

        const T& operator*() const { return *value_; }
        const T* operator->() const { return value_; }

    private:
        const T* value_;
    };

    explicit rcu_cell(std::shared_ptr<const T> initial)
        : owner_(std::move(initial)), value_(owner_.get())
    {
    }
    ~rcu_cell() = default;
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    /// Returns a guard that gives access to the current value.
    read_guard read() const { return read_guard(*this); }

    /// Publishes \p next, waits until nobody reads the previous value and gives
    /// up its share of that value.
    void replace(std::shared_ptr<const T> next)
    {
        {
            std::lock_guard lock(replace_mutex_);
            owner_.swap(next);
            value_ = owner_.get();
        }
        rcu::synchronize();
    }

private:
    std::shared_ptr<const T> owner_;
    std::atomic<const T*> value_;
    std::mutex replace_mutex_;
};

} // namespace galenarudder::support
