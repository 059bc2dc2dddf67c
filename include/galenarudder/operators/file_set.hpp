/// \file
/// The files that operators write, read and checked as one set.
#pragma once

#include "galenarudder/config/document.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace galenarudder::operators {

/// One fault in one file.
struct file_fault
{
    std::string file;
    /// From 1; 0 when the fault has no line.
    std::size_t line = 0;
    /// JSON pointer; empty when the file is not JSON.
    std::string pointer;
    std::string message;
    std::string remedy;
};

/// FILE: line N: POINTER: MESSAGE; remedy: REMEDY
std::string describe(const file_fault& fault);

/// Base and overlays without version or author.
struct file_set
{
    config::document whole;
    /// Every fault found; empty for a set that may be applied.
    std::vector<file_fault> faults;
};

/// Reads \p base_path and every SITE.json in \p overlay_folder, which may be
/// empty.
file_set read_file_set(const std::string& base_path,
                       const std::string& overlay_folder);

/// One value that two documents state differently; null where absent.
struct difference
{
    /// `base` or `overlay SITE`.
    std::string document;
    std::string pointer;
    nlohmann::json before;
    nlohmann::json after;
};

std::string describe(const difference& found);

/// Returns where \p after differs from \p before, in order of path.
std::vector<difference> differences(const config::document& before,
                                    const config::document& after);

} // namespace galenarudder::operators
