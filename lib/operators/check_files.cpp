// Files of the check command, and the lines of what was found in them.
#include "galenarudder/operators/check_files.hpp"

#include "galenarudder/config/check.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/json.hpp"

#include <algorithm>
#include <filesystem>

namespace galenarudder::operators {

using config::finding;
using config::severity;
using nlohmann::json;

namespace {

bool is_overlay(const json& written)
{
    return written.is_object() &&
           written.value("format", json()) == "galenarudder-overlay-1";
}

} // namespace

source_files source_files::read(const std::vector<std::string>& paths,
                                const source_form* form)
{
    source_files files(form);
    for (const std::string& path : paths)
        files.read_file(path);
    if (files.sources_.contains("") || !files.errors_.empty())
        return files;
    files.report(paths.empty() ? "" : paths.front(), 0, "no-base",
                 "none of the files is a base document",
                 "name the base document, too");
    return files;
}

void source_files::report(const std::string& path,
                          std::size_t line,
                          const char* code,
                          std::string message,
                          std::string remedy)
{
    errors_.push_back({path,
                       line,
                       {code, severity::error, "", "", std::move(message),
                        std::move(remedy), nullptr, nullptr}});
}

void source_files::read_file(const std::string& path)
{
    auto text = config::read_file(path);
    if (!text) {
        report(path, 0, "file-unreadable", "the file cannot be read",
               text.error().remedy);
        return;
    }
    source read_source{path, std::move(text).value(), {}};
    auto parsed = support::parse_json(read_source.text);
    if (!parsed) {
        const support::json_problem& problem = parsed.error();
        report(path, problem.line, "not-json",
               "the file cannot be parsed: column " +
                   std::to_string(problem.column) + ": " + problem.text,
               problem.remedy);
        return;
    }
    read_source.written = std::move(parsed).value();
    if (form_ != nullptr)
        accept_translated(std::move(read_source));
    else
        accept(std::move(read_source));
}

void source_files::accept(source read_source)
{
    // A base document that is null counts as absent in the checks that follow.
    if (!read_source.written.is_object()) {
        report(read_source.path, 0, "not-an-object",
               "the file holds no JSON object",
               "write the fields of a base document or an overlay");
        return;
    }
    const bool overlay = is_overlay(read_source.written);
    const std::string site =
        overlay ? std::filesystem::path(read_source.path).stem().string() : "";
    const auto [known, is_new] = sources_.try_emplace(site);
    if (!is_new) {
        report(read_source.path, 0,
               overlay ? "duplicate-overlay" : "duplicate-base",
               (overlay ? "it is an overlay of the site of "
                        : "it is a base document as well as ") +
                   known->second.path,
               "name only one of the two files");
        return;
    }
    if (overlay)
        full_document_.overlays.push_back({site, read_source.written});
    else
        full_document_.base = read_source.written;
    known->second = std::move(read_source);
}

void source_files::accept_translated(source read_source)
{
    if (sources_.contains("")) {
        report(read_source.path, 0, "duplicate-base",
               "the whole configuration is in one file, " +
                   sources_.at("").path,
               "name only one of the two files");
        return;
    }
    translated_source translated = form_->translate(read_source.written);
    full_document_ = std::move(translated.full_document);
    for (located_finding& located :
         locate_in(read_source, std::move(translated.findings), true)) {
        const bool is_error = located.found.level == severity::error;
        (is_error ? errors_ : remarks_).push_back(std::move(located));
    }
    sources_[""] = std::move(read_source);
}

/// \param translated Whether the pointers are those of the file already.
std::vector<located_finding> source_files::locate_in(const source& file,
                                                     std::vector<finding> found,
                                                     bool translated) const
{
    std::vector<std::string> pointers;
    for (finding& located : found) {
        if (form_ != nullptr && !translated)
            located.pointer = form_->locate(file.written, located.pointer);
        pointers.push_back(located.pointer);
    }
    const std::vector<std::size_t> lines =
        config::lines_of_pointers(file.text, pointers);
    std::vector<located_finding> findings;
    for (std::size_t index = 0; index < found.size(); ++index)
        findings.push_back({file.path, lines[index], std::move(found[index])});
    return findings;
}

std::vector<located_finding>
source_files::locate(std::vector<finding> findings) const
{
    // All findings of a file are located in one pass over its text.
    std::map<std::string, std::vector<finding>> by_site;
    std::map<std::string, std::vector<std::size_t>> positions;
    for (std::size_t index = 0; index < findings.size(); ++index) {
        const std::string site = findings[index].site;
        positions[site].push_back(index);
        by_site[site].push_back(std::move(findings[index]));
    }
    std::vector<located_finding> located(findings.size());
    for (auto& [site, found] : by_site) {
        auto in_file = locate_in(sources_.at(site), std::move(found), false);
        for (std::size_t index = 0; index < in_file.size(); ++index)
            located[positions[site][index]] = std::move(in_file[index]);
    }
    return located;
}

} // namespace galenarudder::operators
