/// \file
/// Reads and validates the files in which operators write the base document and
/// the overlays.
#pragma once

#include "galenarudder/config/document.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace galenarudder::operators {

/// A violated rule in one file, or the reason why the file cannot be read.
struct file_error
{
    std::string file;
    /// Line of the invalid value, counted from 1; 0 if the error has no line.
    std::size_t line = 0;
    /// JSON pointer to the invalid value; empty if the error concerns the file
    /// as a whole.
    std::string pointer;
    std::string message;
    std::string remedy;
};

/// Returns FILE: line N: POINTER: MESSAGE; remedy: REMEDY.
std::string describe(const file_error& failure);

/// The documents read from the files, and their errors.
struct file_set
{
    /// The base document and overlays, without version or author.
    config::document full_document;
    /// Every error found; the documents may be applied only if it is empty.
    std::vector<file_error> errors;
};

/// Reads the base document at \p base_path and every overlay SITE.json in
/// \p overlay_folder. An empty \p overlay_folder means no overlays.
file_set read_file_set(const std::string& base_path,
                       const std::string& overlay_folder);

/// A value that differs between two documents; null on the side where it is
/// absent.
struct difference
{
    /// `base` or `overlay SITE`.
    std::string document;
    std::string pointer;
    nlohmann::json before;
    nlohmann::json after;
};

/// Returns DOCUMENT POINTER: BEFORE -> AFTER.
std::string describe(const difference& changed_value);

/// Returns the values in which \p after differs from \p before, ordered by
/// document and path.
std::vector<difference> find_differences(const config::document& before,
                                         const config::document& after);

} // namespace galenarudder::operators
