/// \file
/// Interface of the platform's key-value service.
#pragma once

#include "galenarudder/store/call_purpose.hpp"
#include "galenarudder/store/change_index.hpp"
#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::store {

/// A key's value with the index of its last change.
struct indexed_value
{
    std::string value;
    change_index index;
    /// The lease to which the key is tied; empty when there is none.
    std::string lease;
};

/// A key with its value.
struct listed_value
{
    std::string key;
    indexed_value item;
};

/// A domain that operators have emptied, and the change that emptied it.
struct emptied_domain_key
{
    std::string domain;
    change_index index;
};

/// Receives what the store states about emptied domains. Numbers of indexes
/// rise with each change of the store within an era.
struct domain_observer
{
    /// All emptied domains as of \p read_at.
    std::function<void(std::vector<emptied_domain_key> emptied,
                       const change_index& read_at)>
        on_reading;
    /// A domain was emptied or taken back.
    std::function<void(
        const std::string& domain, bool emptied, const change_index& index)>
        on_change;
};

/// How new the answer to a read must be.
enum class read_freshness
{
    /// The answer is the newest state of the store.
    newest,
    /// The answer may be some seconds old, for a fraction of the cost.
    may_be_stale
};

/// Result of a compare-and-swap that the store answered.
enum class swap_outcome
{
    swapped,
    index_mismatch
};

/// Calls since the start of the process, exported as metrics.
struct store_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    /// Calls that were not sent because the rate limit was exceeded.
    std::uint64_t over_budget = 0;
    /// Calls that were sent and failed.
    std::uint64_t failures = 0;
    call_counts by_purpose{};

    purpose_counts& of(call_purpose purpose)
    {
        return by_purpose.at(static_cast<std::size_t>(purpose));
    }
};

template <typename T>
using callback = std::function<void(support::result<T>)>;

/// Asynchronous access to the platform's key-value service. A call is given up
/// if its answer does not begin within the timeout, a watch shortly after
/// \c wait; an implementation may allow a long answer more time while it
/// arrives. A write whose answer was lost ends with store_outcome_unknown.
/// Callbacks run on the executor given to the implementation.
class platform_store
{
public:
    virtual ~platform_store() = default;

    /// Reads a key; an absent key gives a value with the default
    /// index.
    virtual void get(const std::string& key,
                     read_freshness freshness,
                     support::duration timeout,
                     callback<indexed_value> done) = 0;

    /// Reads all keys that begin with \p prefix, ordered by key. Keys that
    /// change during the call may be missed.
    virtual void list(const std::string& prefix,
                      read_freshness freshness,
                      support::duration timeout,
                      callback<std::vector<listed_value>> done) = 0;

    /// Writes \p value if the key's index still equals \p expected_index; the
    /// default means that the key must be absent. A nonempty \p lease ties the
    /// key to that lease; fails with not_found when it has lapsed.
    virtual void compare_and_swap(const std::string& key,
                                  std::string value,
                                  const change_index& expected_index,
                                  const std::string& lease,
                                  support::duration timeout,
                                  callback<swap_outcome> done) = 0;

    /// Blocking query: waits until the key's index differs from \p known_index
    /// or \p wait has passed, then reads the key.
    virtual void watch(const std::string& key,
                       const change_index& known_index,
                       support::duration wait,
                       callback<indexed_value> done) = 0;

    /// From now on, reads of configuration_key also read which domains
    /// operators have emptied, and watches of it report changes of these
    /// domains. That costs one more call for each read that sets the point from
    /// which a watch follows, and none for the watch itself. A store whose
    /// operators cannot empty domains does nothing.
    virtual void observe_domains(domain_observer) {}

    /// Grants a lease that lapses \p ttl after its last renewal.
    virtual void grant_lease(support::duration ttl,
                             support::duration timeout,
                             callback<std::string> done) = 0;
    /// Renews a lease; fails with not_found when it has lapsed.
    virtual void renew_lease(const std::string& lease,
                             support::duration timeout,
                             callback<void> done) = 0;
    virtual void revoke_lease(const std::string& lease,
                              support::duration timeout,
                              callback<void> done) = 0;

    /// Thread-safe.
    virtual store_counters counters() const = 0;
};

/// Key of the configuration document.
inline constexpr const char* configuration_key = "galenarudder/configuration";

} // namespace galenarudder::store
