/// \file
/// Memory for requests that callers pipeline while an earlier call runs.
#pragma once

#include <atomic>
#include <cstddef>

namespace galenarudder::proxy {

/// Limits the bytes that all connections together read ahead beyond what each
/// of them may always read. Safe from any thread; costs one atomic operation.
class read_ahead_budget
{
public:
    explicit read_ahead_budget(std::size_t limit_bytes) : left_(limit_bytes) {}

    /// Returns whether \p bytes were available; they are then taken.
    bool take(std::size_t bytes)
    {
        std::size_t left = left_.load(std::memory_order_relaxed);
        while (left >= bytes) {
            if (left_.compare_exchange_weak(left, left - bytes,
                                            std::memory_order_relaxed))
                return true;
        }
        return false;
    }
    void give_back(std::size_t bytes)
    {
        left_.fetch_add(bytes, std::memory_order_relaxed);
    }

private:
    std::atomic<std::size_t> left_;
};

} // namespace galenarudder::proxy
