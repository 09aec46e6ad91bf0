#include "routing/permit.h"

namespace radishstep {

std::string job_name(const permit_key& key)
{
    return key.request + "." + std::to_string(key.attempt);
}

std::string host_of_request(const std::string& request)
{
    return request.substr(0, request.find(':'));
}

} // namespace radishstep
