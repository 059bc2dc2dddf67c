// Decoders of external input must return a value or an error and never throw or
// crash. Inputs are random bytes, and valid inputs with some bytes changed.
// unit_membership does the same for datagrams.
#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/announcement_port.hpp"
#include "galenarudder/link/message.hpp"
#include "galenarudder/rollout/store_confirmation.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace galenarudder;

namespace {

/// Changes one byte of a valid input.
struct mutation
{
    std::size_t position = 0;
    char value = 0;
};

std::string mutate(std::string valid, const std::vector<mutation>& mutations)
{
    for (const mutation& change : mutations)
        valid[change.position % valid.size()] = change.value;
    return valid;
}

std::vector<mutation> random_mutations()
{
    return *rc::gen::container<std::vector<mutation>>(rc::gen::build<mutation>(
        rc::gen::set(&mutation::position), rc::gen::set(&mutation::value)));
}

std::string valid_call()
{
    support::call_head head;
    head.id = support::attempt_id{9};
    head.service = "kitcheck";
    head.rank = "urgent";
    head.method = "GET";
    head.target = "/rescue";
    head.fields = {{"Accept", "*/*"}};
    return link::encode(link::call_begin{head});
}

std::string valid_document()
{
    const nlohmann::json route = {{"prefix", "/"}, {"rank", "normal"}};
    const nlohmann::json service = {{"name", "stockdesk"},
                                    {"routes", nlohmann::json::array({route})}};
    config::document content;
    content.version = 1;
    content.change_id = "c1";
    content.base = {{"format", "galenarudder-base-1"},
                    {"services", nlohmann::json::array({service})}};
    return config::serialize(content);
}

constexpr const char* valid_announcement =
    R"({"service":"calibvault","address":"127.0.0.1:8080",)"
    R"("slots":9,"connections":260})";

constexpr const char* valid_settings =
    R"({"member":"a","domain":"sofia-a","callers":"127.0.0.1:7100",)"
    R"("announcements":"127.0.0.1:7101","link":"127.0.0.1:7102",)"
    R"("gossip":"127.0.0.1:7103","operators":"127.0.0.1:7105",)"
    R"("store":"127.0.0.1:8500",)"
    R"("keys":[{"id":"k","secret":"0123456789abcdef"}]})";

/// Decodes \p bytes; true if the decoder returned a value or an error message.
template <typename Decode>
bool handles_input(Decode decode, const std::string& bytes)
{
    const auto decoded = decode(bytes);
    return decoded.has_value() || !decoded.error().message.empty();
}

bool link_handles_input(const std::string& bytes)
{
    return handles_input(
        [](const std::string& input) { return link::decode(input); }, bytes);
}

bool document_handles_input(const std::string& bytes)
{
    return handles_input(
        [](const std::string& input) { return config::parse_document(input); },
        bytes);
}

bool announcement_handles_input(const std::string& bytes)
{
    return handles_input(
        [](const std::string& input) {
            return daemon::parse_announcement(input);
        },
        bytes);
}

bool settings_handles_input(const std::string& bytes)
{
    return handles_input(
        [](const std::string& input) {
            return config::parse_settings(input, "fuzz");
        },
        bytes);
}

bool confirmation_handles_input(const std::string& bytes)
{
    try {
        static_cast<void>(rollout::decode_confirmation(bytes));
        return true;
    } catch (...) {
        return false;
    }
}

struct decoder_case
{
    const char* name;
    bool (*handles_input)(const std::string& bytes);
    std::string valid;
};

std::vector<decoder_case> decoders()
{
    return {{"link message", link_handles_input, valid_call()},
            {"configuration", document_handles_input, valid_document()},
            {"announcement", announcement_handles_input, valid_announcement},
            {"settings", settings_handles_input, valid_settings},
            {"confirmation", confirmation_handles_input,
             encode(rollout::confirmation{7, support::milliseconds(300)})}};
}

} // namespace

TEST_CASE("decoders return for any bytes")
{
    for (const decoder_case& decoder : decoders()) {
        CAPTURE(decoder.name);
        CHECK(rc::check(decoder.name, [&](const std::string& bytes) {
            RC_ASSERT(decoder.handles_input(bytes));
        }));
    }
}

TEST_CASE("decoders return for valid inputs with bytes changed")
{
    for (const decoder_case& decoder : decoders()) {
        CAPTURE(decoder.name);
        CHECK(rc::check(decoder.name, [&] {
            RC_ASSERT(decoder.handles_input(
                mutate(decoder.valid, random_mutations())));
        }));
    }
}

TEST_CASE("the valid inputs of the fuzz tests are valid")
{
    CHECK(link::decode(valid_call()).has_value());
    CHECK(config::parse_document(valid_document()).has_value());
    CHECK(daemon::parse_announcement(valid_announcement).has_value());
    CHECK(config::parse_settings(valid_settings, "fuzz").has_value());
}
