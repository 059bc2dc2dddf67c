/// \file
/// JSON patches (RFC 6902) between documents that share their rows. They are
/// the same operations as those of make_patch() and apply_patch().
#pragma once

#include "galenarudder/config/shared_document.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::rollout {

/// Returns the patch that turns \p from into \p to; empty if it does not have
/// less than \p max_bytes.
std::string patch_between(const config::shared_document& from,
                          const config::shared_document& to,
                          std::size_t max_bytes);

/// Applies \p operations to \p current. Returns nothing if they are malformed,
/// if they do not fit, or if one of them touches more than a row of a table or
/// a value outside of the tables. The result may be an invalid document.
std::optional<config::shared_document>
apply_shared(const config::shared_document& current,
             std::string_view operations);

} // namespace galenarudder::rollout
