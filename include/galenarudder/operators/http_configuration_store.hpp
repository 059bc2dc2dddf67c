/// \file
/// The configuration key over HTTP, for programs that wait for answers.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/operators/change.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::operators {

class http_configuration_store final : public configuration_store
{
public:
    http_configuration_store(config::endpoint where, support::duration timeout);

    support::result<stored_configuration> read() override;
    support::result<bool> swap(const std::string& text,
                               std::uint64_t expected_index) override;

private:
    config::endpoint where_;
    support::duration timeout_;
};

} // namespace galenarudder::operators
