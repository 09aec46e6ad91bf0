#pragma once

#include <memory>
#include <string>
#include <utility>

namespace radishstep::http {

/// An immutable body. Its copies share the bytes.
class shared_body
{
public:
    shared_body() = default;
    shared_body(std::string bytes)
        : bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }
    shared_body(const char* bytes) : shared_body(std::string{bytes}) {}

    /// Returns the bytes, valid as long as a copy of the body lives.
    const std::string& text() const
    {
        static const std::string empty_text;
        return this->bytes ? *this->bytes : empty_text;
    }

    operator const std::string&() const { return this->text(); }
    std::size_t size() const { return this->text().size(); }
    bool empty() const { return !this->bytes; }
    bool operator==(const shared_body& other) const { return this->text() == other.text(); }

private:
    std::shared_ptr<const std::string> bytes;
};

} // namespace radishstep::http
