// The index finds an organisation by each of its keys and by nothing else.
#include "../../lib/organisations/key_index.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::organisations {

namespace {

using organisation_ptr = std::shared_ptr<const config::organisation_policy>;

organisation_ptr organisation_with(std::string name,
                                   std::initializer_list<const char*> keys)
{
    config::organisation_policy policy;
    policy.name = std::move(name);
    for (const char* key : keys)
        policy.key_digests.push_back(digest_of(key));
    return std::make_shared<const config::organisation_policy>(policy);
}

} // namespace

TEST_CASE("a digest is SHA-256 and survives its hexadecimal text")
{
    const std::string digest = digest_of("abc");
    CHECK(to_hex(digest) == "ba7816bf8f01cfea414140de5dae2223"
                            "b00361a396177a9cb410ff61f20015ad");
    CHECK(from_hex(to_hex(digest)) == digest);
    for (const std::string& other :
         {std::string(), std::string(63, 'a'), std::string(64, 'A')})
        CHECK(from_hex(other).empty());
}

TEST_CASE("each key of many finds its organisation")
{
    std::vector<organisation_ptr> organisations;
    for (int number = 0; number < 500; ++number) {
        const std::string name = std::to_string(number);
        organisations.push_back(organisation_with(
            name, {("k" + name).c_str(), ("l" + name).c_str()}));
    }
    const key_index index(organisations);
    CHECK(index.size() == 1000);
    CHECK_FALSE(index.has_duplicates());
    for (const auto& organisation : organisations) {
        CHECK(index.find("k" + organisation->name) == organisation.get());
        CHECK(index.find("l" + organisation->name) == organisation.get());
    }
    for (const char* unknown : {"", "k", "k500", "K1", "k1 "})
        CHECK(index.find(unknown) == nullptr);
}

TEST_CASE(
    "a key of two organisations is a duplicate, and so is one listed twice")
{
    const std::vector<organisation_ptr> shared = {
        organisation_with("a", {"k1", "k2"}), organisation_with("b", {"k2"})};
    CHECK(key_index(shared).has_duplicates());
    const std::vector<organisation_ptr> repeated = {
        organisation_with("a", {"k1", "k1"})};
    CHECK(key_index(repeated).has_duplicates());
}

TEST_CASE("without organisations there is no index")
{
    CHECK_FALSE(make_key_index({}));
}

} // namespace galenarudder::organisations
