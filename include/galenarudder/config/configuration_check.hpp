/// \file
/// Checks a configuration before it is put in force: what daemons reject, what
/// they accept although it has no effect or contradicts itself, and what it
/// changes. There is no I/O.
#pragma once

#include "galenarudder/config/document.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

enum class severity
{
    /// Needs no correction.
    note,
    /// Daemons accept it, but a part has no effect or contradicts another.
    warning,
    /// Daemons reject the configuration.
    error
};

std::string_view to_string(severity level);

struct finding
{
    /// Identifies the rule; does not change between releases.
    std::string code;
    severity level = severity::note;
    /// Site of the overlay; empty if the finding is in the base document.
    std::string site;
    /// JSON pointer to the value; empty for the whole document.
    std::string pointer;
    std::string message;
    std::string remedy;
    /// The old and the new value of a difference. Null where it is absent and
    /// for other findings.
    nlohmann::json before;
    nlohmann::json after;
};

/// The upstreams of one service in a running fleet.
struct service_capacity
{
    std::size_t upstreams = 0;
    /// Calls that they can process in a second; 0 if not known.
    double calls_per_s = 0;
};

/// The running services by name.
using fleet_capacity = std::map<std::string, service_capacity, std::less<>>;

/// What is checked, and what it is compared with. The pointers may be null.
struct check_input
{
    /// The documents need not conform to their schemas.
    const document& checked;
    /// Must conform to the schemas.
    const document* in_force = nullptr;
    /// Whether \c in_force has all overlays, so that they are compared, too.
    bool compare_overlays = true;
    const fleet_capacity* fleet = nullptr;
};

/// Returns the findings, errors first and notes last. Rules across documents
/// and differences need documents that conform to their schemas.
std::vector<finding> check_configuration(const check_input& input);

/// Returns every violation of the schemas. Skips a base document that is null.
std::vector<finding> find_schema_errors(const document& checked);

/// Returns each route, service, organisation, rank and setting that was added,
/// removed or changed, as notes. Only the beginnings of key digests are shown.
/// Both documents must conform to their schemas.
std::vector<finding> find_changes(const document& before,
                                  const document& after,
                                  bool compare_overlays);

} // namespace galenarudder::config
