/// \file
/// A shared value that readers on a call's path see without a lock, by
/// userspace read-copy-update.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace galenarudder::support {

namespace rcu {

/// Enters and leaves a read-side section; sections may nest.
void read_lock();
void read_unlock();

/// Waits until every read-side section that began before has ended. Must not
/// be called from within a read-side section.
void synchronize();

} // namespace rcu

/// Holds one immutable \p T. Reading takes no lock; replacing waits for the
/// readers of the previous value.
template <typename T>
class rcu_cell
{
public:
    /// Keeps the value alive that was current at construction.
    class reader
    {
    public:
        explicit reader(const rcu_cell& cell)
        {
            rcu::read_lock();
            value_ = cell.value_.load(std::memory_order_acquire);
        }
        ~reader() { rcu::read_unlock(); }
        reader(const reader&) = delete;
        reader& operator=(const reader&) = delete;

        const T& operator*() const { return *value_; }
        const T* operator->() const { return value_; }

    private:
        const T* value_;
    };

    explicit rcu_cell(std::unique_ptr<const T> first) : value_(first.release())
    {
    }
    ~rcu_cell() { delete value_.load(); }
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    /// Returns a guard through which the current value is read.
    reader read() const { return reader(*this); }

    /// Publishes \p next and frees the previous value once no reader sees it.
    void replace(std::unique_ptr<const T> next)
    {
        const T* previous = nullptr;
        {
            std::lock_guard lock(writers_);
            previous = value_.exchange(next.release());
        }
        rcu::synchronize();
        delete previous;
    }

private:
    std::atomic<const T*> value_;
    std::mutex writers_;
};

} // namespace galenarudder::support
