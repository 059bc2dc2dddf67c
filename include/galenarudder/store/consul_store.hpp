/// \file
/// Client of the platform's key-value service over HTTP, according to Consul's
/// KV and session APIs. These do not report a restore, so that all changes have
/// era 0.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/store/platform_store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>

namespace galenarudder::store {

/// Limits of the rate at which one daemon calls the store. A call beyond them
/// fails at once with store_unavailable and is not sent.
struct store_limits
{
    double reads_per_second = 100;
    double read_burst = 200;
    double writes_per_second = 100;
    double write_burst = 200;
};

class consul_store final : public platform_store
{
public:
    /// Callbacks run on \p executor. Large answers are parsed on \p background.
    consul_store(boost::asio::any_io_executor executor,
                 boost::asio::any_io_executor background,
                 config::endpoint server,
                 const store_limits& limits = {});
    ~consul_store() override;

    void get(const std::string& key,
             read_freshness freshness,
             support::duration timeout,
             callback<indexed_value> done) override;
    void list(const std::string& prefix,
              read_freshness freshness,
              support::duration timeout,
              callback<std::vector<listed_value>> done) override;
    void compare_and_swap(const std::string& key,
                          std::string value,
                          const change_index& expected_index,
                          const std::string& lease,
                          support::duration timeout,
                          callback<swap_outcome> done) override;
    void watch(const std::string& key,
               const change_index& known_index,
               support::duration wait,
               callback<indexed_value> done) override;
    void grant_lease(support::duration ttl,
                     support::duration timeout,
                     callback<std::string> done) override;
    void renew_lease(const std::string& lease,
                     support::duration timeout,
                     callback<void> done) override;
    void revoke_lease(const std::string& lease,
                      support::duration timeout,
                      callback<void> done) override;

    store_counters counters() const override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenarudder::store
