#include <decide/sha256_algorithm.hpp>

#include <memory>

namespace bluebellspoke
{

namespace
{

struct algorithm_deleter
{
    void operator()(EVP_MD* algorithm) const noexcept
    {
        EVP_MD_free(algorithm);
    }
};
using algorithm_ptr = std::unique_ptr<EVP_MD, algorithm_deleter>;

}

// With EVP_sha256(), OpenSSL searches its providers under locks at each use.
const EVP_MD* sha256_algorithm()
{
    static const algorithm_ptr fetched(
        EVP_MD_fetch(nullptr, "SHA256", nullptr));
    return fetched.get();
}

}
