// Decoders of bytes from outside never throw or crash: random bytes, and
// valid inputs with random bytes changed. Datagrams are in unit_membership.
#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/announcement_port.hpp"
#include "galenarudder/link/message.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace galenarudder;

namespace {

/// One change of a valid input.
struct mutation
{
    std::size_t position = 0;
    char value = 0;
};

std::string mutate(std::string valid, const std::vector<mutation>& changes)
{
    for (const mutation& change : changes)
        valid[change.position % valid.size()] = change.value;
    return valid;
}

std::vector<mutation> any_changes()
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
    config::document whole;
    whole.version = 1;
    whole.change_id = "c1";
    whole.base = {{"format", "galenarudder-base-1"},
                  {"services", nlohmann::json::array({service})}};
    return config::serialize(whole);
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

/// Feeds one decoder; true when it returned, with a value or an error.
template <typename Decode>
bool returns(Decode decode, const std::string& bytes)
{
    const auto decoded = decode(bytes);
    return decoded.has_value() || !decoded.error().message.empty();
}

bool link_returns(const std::string& bytes)
{
    return returns([](const std::string& b) { return link::decode(b); }, bytes);
}

bool document_returns(const std::string& bytes)
{
    return returns(
        [](const std::string& b) { return config::parse_document(b); }, bytes);
}

bool announcement_returns(const std::string& bytes)
{
    return returns(
        [](const std::string& b) { return daemon::parse_announcement(b); },
        bytes);
}

bool settings_returns(const std::string& bytes)
{
    return returns(
        [](const std::string& b) { return config::parse_settings(b, "fuzz"); },
        bytes);
}

struct decoder_row
{
    const char* name;
    bool (*returns)(const std::string& bytes);
    std::string valid;
};

std::vector<decoder_row> decoders()
{
    return {{"link message", link_returns, valid_call()},
            {"configuration", document_returns, valid_document()},
            {"announcement", announcement_returns, valid_announcement},
            {"settings", settings_returns, valid_settings}};
}

} // namespace

TEST_CASE("decoders return for any bytes")
{
    for (const decoder_row& decoder : decoders()) {
        CAPTURE(decoder.name);
        CHECK(rc::check(decoder.name, [&](const std::string& bytes) {
            RC_ASSERT(decoder.returns(bytes));
        }));
    }
}

TEST_CASE("decoders return for valid inputs with bytes changed")
{
    for (const decoder_row& decoder : decoders()) {
        CAPTURE(decoder.name);
        CHECK(rc::check(decoder.name, [&] {
            RC_ASSERT(decoder.returns(mutate(decoder.valid, any_changes())));
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
