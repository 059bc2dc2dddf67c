// A store behind a narrow link: its answers take longer than a call may wait
// for a store that is silent.
#include "metadata_store.hpp"

#include "galenarudder/store/consul_store.hpp"
#include "galenarudder/store/platform_store.hpp"
#include "galenarudder/support/base64.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <thread>

namespace galenarudder::platform {

using boost::asio::ip::tcp;
using store::indexed_value;
using support::result;

namespace {

const config::endpoint store_endpoint{"127.9.2.2", 8309};
constexpr support::milliseconds silence_limit{1000};
/// The largest value of the platform, and a link of 10 Mbit/s of which calls
/// use a third.
constexpr std::size_t value_bytes = 1024 * 1024;
constexpr std::size_t part_bytes = 64 * 1024;
constexpr support::milliseconds part_interval{75};

/// Answers one call with an item of value_bytes, in parts.
class narrow_store
{
public:
    /// The store falls silent after \p parts parts.
    narrow_store(std::string body, std::size_t parts)
        : acceptor_(io_,
                    {boost::asio::ip::make_address(store_endpoint.address),
                     store_endpoint.port}),
          thread_([this, body = std::move(body), parts] { serve(body, parts); })
    {
    }
    ~narrow_store() { thread_.join(); }

private:
    void serve(const std::string& body, std::size_t parts)
    {
        tcp::socket caller = acceptor_.accept();
        boost::system::error_code failure;
        std::string request;
        boost::asio::read_until(caller, boost::asio::dynamic_buffer(request),
                                "\r\n\r\n", failure);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body;
        for (std::size_t sent = 0; sent < answer.size() && !failure;
             sent += part_bytes) {
            if (parts-- == 0)
                break;
            boost::asio::write(
                caller,
                boost::asio::buffer(answer.data() + sent,
                                    std::min(part_bytes, answer.size() - sent)),
                failure);
            std::this_thread::sleep_for(part_interval);
        }
        // Returns once the caller closes its connection.
        caller.read_some(boost::asio::buffer(request), failure);
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

using client_ptr = std::unique_ptr<store::platform_store>;

/// A kind of store: its client, and its answer to a read.
struct store_kind
{
    const char* name;
    client_ptr (*make_client)(boost::asio::io_context& io);
    std::string (*make_answer)(const std::string& encoded_value);
};

const store_kind kinds[] = {
    {"metadata store",
     [](boost::asio::io_context& io) -> client_ptr {
         return std::make_unique<metadata_store>(
             io.get_executor(), io.get_executor(), store_endpoint);
     },
     [](const std::string& encoded_value) {
         return nlohmann::json{{"key", "key"},
                               {"value", encoded_value},
                               {"rev", 12},
                               {"lease", 0},
                               {"currentRev", 12}}
             .dump();
     }},
    {"consul store",
     [](boost::asio::io_context& io) -> client_ptr {
         return std::make_unique<store::consul_store>(
             io.get_executor(), io.get_executor(), store_endpoint);
     },
     [](const std::string& encoded_value) {
         const nlohmann::json entry = {
             {"Key", "key"}, {"Value", encoded_value}, {"ModifyIndex", 12}};
         return nlohmann::json::array({entry}).dump();
     }},
};

using start_call = void (*)(store::platform_store& client,
                            const store::callback<indexed_value>& done);

void get(store::platform_store& client,
         const store::callback<indexed_value>& done)
{
    client.get("key", store::read_freshness::newest, silence_limit, done);
}

void watch(store::platform_store& client,
           const store::callback<indexed_value>& done)
{
    client.watch("key", {}, std::chrono::seconds(30), done);
}

void ask(store::platform_store& client,
         const store::callback<indexed_value>& done)
{
    client.watch("key", {}, support::milliseconds(1), done);
}

} // namespace

// Guards against a document that never arrives where its transfer takes longer
// than the store may be silent.
TEST_CASE("a long answer over a narrow link is read to its end", "[platform]")
{
    struct row
    {
        const char* name;
        start_call start;
        std::size_t parts;
        bool arrives;
    };
    constexpr std::size_t all_parts = 100;
    const row rows[] = {
        {"a read", get, all_parts, true},
        {"a watch of a new key", watch, all_parts, true},
        {"a question for changes", ask, all_parts, true},
        {"a read that ends midway", get, 8, false},
        {"a read without an answer", get, 0, false},
    };
    const std::string encoded_value =
        support::base64_encode(std::string(value_bytes, 'v'));
    for (const auto& kind : kinds) {
        for (const row& test_case : rows) {
            INFO(kind.name << ", " << test_case.name);
            const narrow_store platform(kind.make_answer(encoded_value),
                                        test_case.parts);
            boost::asio::io_context io;
            const auto begin = support::monotonic_clock::now();
            std::optional<result<indexed_value>> outcome;
            const client_ptr client = kind.make_client(io);
            test_case.start(*client, [&](result<indexed_value> reported) {
                outcome.emplace(std::move(reported));
            });
            io.run();
            REQUIRE(outcome);
            CHECK(outcome->has_value() == test_case.arrives);
            // A store that is silent is still noticed soon.
            if (!test_case.arrives) {
                CHECK(support::monotonic_clock::now() - begin <
                      2 * silence_limit);
            }
        }
    }
}

} // namespace galenarudder::platform
