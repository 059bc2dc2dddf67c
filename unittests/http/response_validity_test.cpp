// The rules on raw heads, without a parser in front of them. Guards against a
// rule that holds only because the present parser enforces it too.
#include "galenarudder/http/response_validity.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

namespace galenarudder::http {

TEST_CASE("an invalid head or trailer breaks its rule")
{
    struct row
    {
        std::string head;
        boost::system::error_code fault;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const auto& [head, fault] = GENERATE_REF(values<row>({
        {ok, {}},
        {ok + "A: b\r\nContent-Length: 12\r\n", {}},
        {"HTTP/1.0 599 \r\nA:\r\nB: \t\r\nC: x\ty\xff\r\n", {}},
        {ok + "transfer-encoding: CHUNKED\r\n", {}},
        {"HTTP/1.2 200 OK\r\n", response_fault::version},
        {"http/1.1 200 OK\r\n", response_fault::version},
        {"", response_fault::version},
        {"HTTP/1.1 099 OK\r\n", response_fault::status},
        {"HTTP/1.1 600 OK\r\n", response_fault::status},
        {"HTTP/1.1 2000 OK\r\n", response_fault::status},
        {"HTTP/1.1 20 OK\r\n", response_fault::status},
        {"HTTP/1.1 2x0 OK\r\n", response_fault::status},
        {"HTTP/1.1\r\n", response_fault::status},
        {"HTTP/1.1 101 On\r\n", response_fault::unrequested_upgrade},
        {ok + " A: b\r\n", response_fault::folded_field},
        {ok + "A: b\r\n\tc\r\n", response_fault::folded_field},
        {ok + "A b: c\r\n", response_fault::field_name},
        {ok + "A : c\r\n", response_fault::field_name},
        {ok + "A\x80: c\r\n", response_fault::field_name},
        {ok + "no colon\r\n", response_fault::field_name},
        {ok + std::string("A: b\0c\r\n", 8), response_fault::control_byte},
        {ok + "A: b\nc\r\n", response_fault::control_byte},
        {ok + "A: b\x7f\r\n", response_fault::control_byte},
        {"HTTP/1.1 200 O\rK\r\n", response_fault::control_byte},
        {ok + "Content-Length: 2\r\ncontent-length: 2\r\n",
         response_fault::repeated_length},
        {ok + "Content-Length: 2, 2\r\n", response_fault::malformed_length},
        {ok + "Content-Length:\r\n", response_fault::malformed_length},
        {ok + "Transfer-Encoding: gzip\r\n", response_fault::transfer_coding},
        {ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
         response_fault::transfer_coding},
        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
         response_fault::transfer_coding},
    }));
    CAPTURE(head);
    CHECK(check_response_head(head + "\r\n") == fault);
}

TEST_CASE("a blank or control byte anywhere in a field name is found")
{
    rc::check([] {
        std::string name =
            *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        const char bad = *rc::gen::oneOf(rc::gen::inRange<char>(0, '!'),
                                         rc::gen::just<char>(0x7f));
        name.insert(*rc::gen::inRange<std::size_t>(0, name.size() + 1), 1, bad);
        const std::string field = name + ": value\r\n\r\n";
        RC_ASSERT(check_response_head("HTTP/1.1 200 OK\r\n" + field).failed());
        RC_ASSERT(check_response_trailers("\r\n0\r\n" + field).failed());
    });
}

} // namespace galenarudder::http
