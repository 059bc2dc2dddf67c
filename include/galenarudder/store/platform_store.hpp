/// \file
/// The platform's key-value service as the product uses it.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::store {

/// A key's value with the index of its last change; index 0 means absent.
struct versioned_value
{
    std::string value;
    std::uint64_t index = 0;
    /// The lease that holds the key; empty when none does.
    std::string lease;
};

/// A key with its value.
struct listed_value
{
    std::string key;
    versioned_value item;
};

/// What became of a compare-and-swap that was answered.
enum class swap_outcome
{
    swapped,
    index_mismatch
};

/// Calls since the start, for metrics.
struct store_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t over_budget = 0;
    /// Calls that failed for any reason but the budget.
    std::uint64_t failures = 0;
};

template <typename T>
using callback = std::function<void(support::result<T>)>;

/// Asynchronous access to the platform's service. Each call ends by its
/// deadline; a call whose answer was lost ends with store_outcome_unknown.
/// Callbacks run on the executor that the implementation was given.
class platform_store
{
public:
    virtual ~platform_store() = default;

    /// Reads a key; an absent key is a value with index 0.
    virtual void get(const std::string& key,
                     support::duration timeout,
                     callback<versioned_value> done) = 0;

    /// Reads every key that begins with \p prefix, ordered by key. Keys that
    /// change meanwhile may be missed.
    virtual void list(const std::string& prefix,
                      support::duration timeout,
                      callback<std::vector<listed_value>> done) = 0;

    /// Writes \p value if the key's index is still \p expected_index; 0 stands
    /// for absent. A nonempty \p lease ties the key to that lease.
    virtual void compare_and_swap(const std::string& key,
                                  std::string value,
                                  std::uint64_t expected_index,
                                  const std::string& lease,
                                  support::duration timeout,
                                  callback<swap_outcome> done) = 0;

    /// Waits until the key's index differs from \p known_index or \p wait has
    /// passed, then reads it.
    virtual void watch(const std::string& key,
                       std::uint64_t known_index,
                       support::duration wait,
                       callback<versioned_value> done) = 0;

    /// Grants a lease that lapses \p ttl after its last renewal.
    virtual void grant_lease(support::duration ttl,
                             support::duration timeout,
                             callback<std::string> done) = 0;
    /// Renews a lease; not_found when it has lapsed.
    virtual void renew_lease(const std::string& lease,
                             support::duration timeout,
                             callback<void> done) = 0;
    virtual void revoke_lease(const std::string& lease,
                              support::duration timeout,
                              callback<void> done) = 0;

    /// Safe from any thread.
    virtual store_counters counters() const = 0;
};

/// Key of the configuration document.
inline constexpr const char* configuration_key = "galenarudder/configuration";

} // namespace galenarudder::store
