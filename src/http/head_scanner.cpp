#include "http/head_scanner.h"

namespace pomelohoist {

head_scanner::state head_scanner::scan(std::string_view received) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    for (; this->position < received.size(); ++this->position) {
        const char character = received[this->position];
        const auto code = static_cast<unsigned char>(character);
        if (character == '\r') {
            if (this->position + 1 == received.size()) {
                return state::incomplete;
            }
            if (received[this->position + 1] != '\n') {
                return state::malformed;
            }
            const bool is_blank = this->position == this->line_begin;
            this->position += 1;
            this->line_begin = this->position + 1;
            if (is_blank) {
                this->position += 1;
                return state::complete;
            }
        } else if ((code < first_printable && character != '\t') || code == delete_character) {
            return state::malformed;
        }
    }
    return state::incomplete;
}

} // namespace pomelohoist
