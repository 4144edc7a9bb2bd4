#ifndef BLUEBELLSPOKE_DECIDE_SHA256_ALGORITHM_HPP
#define BLUEBELLSPOKE_DECIDE_SHA256_ALGORITHM_HPP

#include <openssl/evp.h>

namespace bluebellspoke
{

/// SHA-256, looked up once in a process.
const EVP_MD* sha256_algorithm();

}

#endif
