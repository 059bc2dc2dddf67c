/// \file
/// Reads the files of the check command. Each finding is located in the file
/// that causes it.
#pragma once

#include "galenarudder/config/configuration_check.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::operators {

/// What a file in another form than the product's becomes.
struct translated_source
{
    config::document full_document;
    /// What the translation found. The pointers are those of the source. With
    /// an error the document is incomplete.
    std::vector<config::finding> findings;
};

/// A form in which operators write the whole configuration in one file.
struct source_form
{
    translated_source (*translate)(const nlohmann::json& written);
    /// Returns the pointer to what \p pointer of the translated base document
    /// was translated from.
    std::string (*locate)(const nlohmann::json& written,
                          std::string_view pointer);
};

/// A finding and where it is; the pointer is that of the file.
struct located_finding
{
    std::string file;
    /// Line of the value, counted from 1; 0 if it is not known.
    std::size_t line = 0;
    config::finding found;
};

/// A configuration read from files.
class source_files
{
public:
    /// Reads a base document and overlays SITE.json, told apart by their
    /// format, or one file in \p form if it is not null.
    static source_files read(const std::vector<std::string>& paths,
                             const source_form* form);

    const config::document& full_document() const { return full_document_; }
    /// Errors that prevent the rules across documents from being checked.
    const std::vector<located_finding>& errors() const { return errors_; }
    /// Warnings and notes of the translation.
    const std::vector<located_finding>& remarks() const { return remarks_; }
    bool has_overlays() const { return !full_document_.overlays.empty(); }

    /// Locates findings in the files.
    std::vector<located_finding>
    locate(std::vector<config::finding> findings) const;

private:
    /// The path, text and content of a file that was read.
    struct source
    {
        std::string path;
        std::string text;
        nlohmann::json written;
    };

    explicit source_files(const source_form* form) : form_(form) {}

    void read_file(const std::string& path);
    void accept(source read_source);
    void accept_translated(source read_source);
    void report(const std::string& path,
                std::size_t line,
                const char* code,
                std::string message,
                std::string remedy);
    std::vector<located_finding> locate_in(const source& file,
                                           std::vector<config::finding> found,
                                           bool translated) const;

    const source_form* form_;
    config::document full_document_;
    /// By site; the base document under "".
    std::map<std::string, source> sources_;
    std::vector<located_finding> errors_;
    std::vector<located_finding> remarks_;
};

} // namespace galenarudder::operators
