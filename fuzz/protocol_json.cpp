// Any text is either rejected as malformed_request or gives a message whose JSON is stable. The
// first byte chooses the type of the message.

#include "tanagerpaddle/protocol.hpp"

using namespace tanagerpaddle;

namespace {

template <class Message>
void try_decode(std::string_view text) {
    Message message;
    try {
        message = decode<Message>(text);
    } catch (const error& e) {
        check_invariant(e.code() == result_code::malformed_request, e.what());
        return;
    }
    const std::string encoded = encode(message);
    check_invariant(encode(decode<Message>(encoded)) == encoded, "JSON is stable: " + encoded);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 3) {
        case 0:
            try_decode<sync_request>(text);
            break;
        case 1:
            try_decode<sync_reply>(text);
            break;
        default:
            try_decode<entry_digest>(text);
            break;
    }
    return 0;
}
