/// \file
/// Access to the configuration key over HTTP with blocking calls.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/operators/change.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::operators {

/// Reads and writes the key through the store's key-value API.
class http_configuration_store final : public configuration_store
{
public:
    http_configuration_store(config::endpoint store_address,
                             support::duration timeout);

    support::result<stored_configuration> read() override;
    support::result<bool> swap(const std::string& text,
                               std::uint64_t expected_index) override;

private:
    config::endpoint store_address_;
    support::duration timeout_;
};

} // namespace galenarudder::operators
