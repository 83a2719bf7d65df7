#include "platform/base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace pomelohoist {

std::string encode_base64(const std::string& text) {
    std::ostringstream stream;
    Poco::Base64Encoder encoder{stream};
    encoder.rdbuf()->setLineLength(0);
    encoder.write(text.data(), static_cast<std::streamsize>(text.size()));
    encoder.close();
    return std::move(stream).str();
}

std::string decode_base64(const std::string& encoded) {
    std::istringstream stream{encoded};
    Poco::Base64Decoder decoder{stream};
    std::string text;
    Poco::StreamCopier::copyToString(decoder, text);
    return text;
}

} // namespace pomelohoist
