// The check command reports files that it cannot read or compare, and does not
// abort on them or pass them.
#include "galenarudder/operators/check_files.hpp"
#include "galenarudder/operators/commands.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

using namespace galenarudder;

namespace {

/// A directory for the files of one test.
class file_directory
{
public:
    file_directory()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "check-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    file_directory(const file_directory&) = delete;
    file_directory& operator=(const file_directory&) = delete;
    ~file_directory() { std::filesystem::remove_all(path_); }

    std::string write(const char* name, const std::string& text) const
    {
        std::ofstream(path_ / name) << text;
        return (path_ / name).string();
    }

private:
    std::filesystem::path path_;
};

struct outcome
{
    operators::exit_code code;
    std::string printed;
};

outcome run_check(const operators::options& flags)
{
    std::ostringstream out;
    const operators::console output{out, out};
    const auto code = operators::run_command("check", flags, output);
    return {code, out.str()};
}

const char* const base_text =
    R"({"format":"galenarudder-base-1","ranks":[{"name":"r"}],"services":[]})";
const char* const overlay_text =
    R"({"format":"galenarudder-overlay-1","site":"bilbao"})";

} // namespace

// Guards against files that pass the check though daemons refuse them.
TEST_CASE("check reports a file that holds no document", "[operators]")
{
    const file_directory directory;
    const auto [text, code] = GENERATE(table<const char*, const char*>({
        {"null", "[not-an-object]"},
        {"[]", "[not-an-object]"},
        {R"({"limits":1e999})", "[not-json]"},
        {"{", "[not-json]"},
    }));
    operators::options flags;
    flags.files = {directory.write("base.json", text)};
    const outcome result = run_check(flags);
    CHECK(result.code == operators::exit_code::check_errors);
    CHECK_THAT(result.printed, Catch::Contains(code));
}

// Guards against an abort, whose exit status is not one of the command's.
TEST_CASE("check reports an exception as an error", "[operators]")
{
    const file_directory directory;
    static const operators::source_form failing_form = {
        [](const nlohmann::json&) -> operators::translated_source {
            throw std::runtime_error("no translation");
        },
        nullptr};
    operators::options flags;
    flags.files = {directory.write("base.json", base_text)};
    flags.form = &failing_form;
    const outcome result = run_check(flags);
    CHECK(result.code == operators::exit_code::check_errors);
    CHECK_THAT(result.printed, Catch::Contains("no translation"));
}

// Guards against overlays that are reported as removed because none was named,
// and against overlays that are left out though they were.
TEST_CASE("check compares overlays if either side has some", "[operators]")
{
    const file_directory directory;
    const std::string base = directory.write("base.json", base_text);
    const std::string overlay = directory.write("bilbao.json", overlay_text);
    const auto [checked, against] = GENERATE(
        table<bool, bool>({{false, false}, {true, false}, {false, true}}));
    operators::options flags;
    flags.files = {base};
    flags.against = {base};
    if (checked)
        flags.files.push_back(overlay);
    if (against)
        flags.against.push_back(overlay);
    const std::string printed = run_check(flags).printed;
    const bool noted =
        printed.find("[overlays-not-compared]") != std::string::npos;
    CHECK(noted == (!checked && !against));
    const bool removed = printed.find("[removed]") != std::string::npos;
    CHECK(removed == against);
}
