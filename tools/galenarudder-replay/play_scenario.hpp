/// \file
/// Plays scenarios with several seeds on several threads.
#pragma once

#include "scenario_report.hpp"

#include <cstddef>
#include <cstdint>

namespace galenarudder::replay {

/// Plays the seeds from \p first_seed on, one seed on one thread at a time.
/// The figures do not depend on the number of threads.
played_scenario play_scenario(const scenario& played,
                              std::uint64_t first_seed,
                              std::size_t seeds,
                              std::size_t threads);

/// Plays \p base and, if it is not null, \p changed with the same seeds. Both
/// must outlive the results.
scenario_results play_scenarios(const scenario& base,
                                const scenario* changed,
                                std::uint64_t first_seed,
                                std::size_t seeds,
                                std::size_t threads);

} // namespace galenarudder::replay
