#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
constexpr int max_body_bytes = 4'000'000;
constexpr std::size_t small_upload_bytes = 300'000;
constexpr std::size_t large_upload_bytes = 3'900'000;
constexpr int small_buffer_bytes = 8'192;
const std::string part = "part of the engine's body";

/// A 200 of which only a part of the body is sent.
struct partial_answer
{
    std::string name;
    std::string framing;
    std::string body;
};

std::vector<partial_answer> partial_answers()
{
    return {{"unframed", "", part},
            {"chunks", "Transfer-Encoding: chunked\r\n", chunk(part)},
            {"length", "Content-Length: 1000\r\n", part}};
}

std::string bytes_of(const partial_answer& answer, const engine_call& call)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (const http::header& line : engine_headers(call))
        text += line.name + ": " + line.value + "\r\n";
    return text + answer.framing + "\r\n" + answer.body;
}

/// Engines that answer an upload before they have read it, and break the connection.
class test_early_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_early_answers);
    CPPUNIT_TEST(part_of_an_answer_to_an_unread_upload_is_no_answer);
    CPPUNIT_TEST(part_of_an_answer_that_is_reset_after_the_upload_is_no_answer);
    CPPUNIT_TEST(early_answer_that_its_engine_ends_is_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int receive_buffer_bytes)
    {
        this->site = std::make_unique<platform_site>(2, 0, 0);
        this->site->set_caller_limits(8'192, max_body_bytes);
        this->site->set_retry_slack(10'000);
        for (const auto& [id, engine] : this->site->engines) {
            engine->set_answering_early(true);
            if (receive_buffer_bytes > 0)
                engine->set_receive_buffer(receive_buffer_bytes);
        }
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void tearDown() override { this->site.reset(); }

    site_response upload(const std::string& path, std::size_t bytes)
    {
        site_request request;
        request.path = path;
        request.id = "attempt-" + std::to_string(++this->sent);
        request.body.assign(bytes, 'u');
        return this->site->call(request);
    }

    /// Checks that an upload fails and, if it may not be repeated, has run once.
    void check_failure(const std::string& name, std::size_t bytes)
    {
        for (const bool is_repeatable : {false, true}) {
            const int runs_before = this->site->total_runs();
            const site_response response = this->upload(is_repeatable ? "/plain/1" : "/once/1", bytes);
            const std::string step = name + (is_repeatable ? ", repeatable" : ", once");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(step, status_bad_gateway, response.status);
            CPPUNIT_ASSERT_MESSAGE(step, response.body.find(part) == std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(step, is_repeatable ? 2 : 1, this->site->total_runs() - runs_before);
        }
    }

    // Guards against a part of a body that a reset cut off while the upload was being written, taken for the whole.
    void part_of_an_answer_to_an_unread_upload_is_no_answer()
    {
        for (const int buffer_bytes : {0, small_buffer_bytes}) {
            this->start(buffer_bytes);
            for (const partial_answer& answer : partial_answers()) {
                for (const milliseconds delay : {0ms, 1ms, 5ms, 20ms, 100ms, 300ms}) {
                    this->site->set_script([=](const engine_call& call) {
                        scripted_answer sent{{bytes_of(answer, call)}, answer_end::reset};
                        sent.reset_delay = delay;
                        return sent;
                    });
                    const std::string name = answer.name + ", reset after " + std::to_string(delay.count()) +
                                             " ms, buffer " + std::to_string(buffer_bytes);
                    this->check_failure(name + ", small", small_upload_bytes);
                    this->check_failure(name + ", large", large_upload_bytes);
                }
            }
        }
    }

    // Guards against a reset that comes between the last byte of the request and the first read of the answer.
    void part_of_an_answer_that_is_reset_after_the_upload_is_no_answer()
    {
        this->start(0);
        for (const auto& [id, engine] : this->site->engines)
            engine->set_answering_early(false);
        for (const partial_answer& answer : partial_answers()) {
            for (const milliseconds delay : {0ms, 1ms, 5ms, 20ms}) {
                this->site->set_script([=](const engine_call& call) {
                    scripted_answer sent{{bytes_of(answer, call)}, answer_end::reset};
                    sent.reset_delay = delay;
                    return sent;
                });
                for (const std::size_t bytes : {std::size_t{1}, small_upload_bytes, large_upload_bytes})
                    this->check_failure(answer.name + ", " + std::to_string(bytes) + " bytes", bytes);
            }
        }
    }

    // Guards against early answers that are lost although their engine ended them: it shuts its side down, and its
    // connection is reset later since nobody reads the upload (RFC 9112, section 9.6).
    void early_answer_that_its_engine_ends_is_whole()
    {
        this->start(0);
        this->site->set_script([](const engine_call& call) {
            scripted_answer sent{{unframed_answer(status_ok, engine_headers(call), part)},
                                 answer_end::shut_down_then_reset};
            sent.reset_delay = 100ms;
            return sent;
        });
        for (const char* path : {"/once/1", "/plain/1"}) {
            // The kernel's buffers take it, though nobody reads it.
            constexpr std::size_t buffered_upload_bytes = 20'000;
            const site_response response = this->upload(path, buffered_upload_bytes);
            CPPUNIT_ASSERT_EQUAL(status_ok, response.status);
            CPPUNIT_ASSERT(response.is_complete);
            CPPUNIT_ASSERT_EQUAL(part, response.body);
        }
    }

private:
    std::unique_ptr<platform_site> site;
    int sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_early_answers);

} // namespace
