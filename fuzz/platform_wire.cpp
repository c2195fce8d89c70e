// Any body that the platform, a caller or an executor may send is either refused with a numbered
// error, reported as unreadable, or read. The first byte chooses the decoder.

#include "wire.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::platform;

namespace {

using decoder = void (*)(const std::string& body);

eventio::http_result answered(const std::string& body) {
    return {eventio::call_outcome::answered, 200, body, false};
}

constexpr decoder decoders[] = {
    [](const std::string& body) { (void)wire::decode_job(body); },
    [](const std::string& body) { (void)wire::decode_configuration(body); },
    [](const std::string& body) { (void)wire::decode_report(dispatch::executor_id("i"), body); },
    [](const std::string& body) { (void)wire::decode_hold(answered(body)); },
    [](const std::string& body) { (void)wire::decode_advice(body); },
    [](const std::string& body) { (void)wire::decode_transaction(answered(body)); },
    [](const std::string& body) { (void)wire::decode_rows(answered(body)); },
    [](const std::string& body) { (void)dispatch::decode_job_phase(body); },
    [](const std::string& body) { (void)dispatch::decode_job(body); },
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::string body(reinterpret_cast<const char*>(data) + 1, size - 1);
    try {
        decoders[data[0] % std::size(decoders)](body);
    } catch (const error&) {
        // Refused with a numbered code.
    }
    return 0;
}
