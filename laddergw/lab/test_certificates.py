"""Keys and certificates for rehearsals and tests: a certificate authority, and valid or expired certificates that it signs."""
import datetime as dt
import ipaddress
import os

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class CertificateAuthority:
    """Signs certificates and writes them into a folder as NAME.pem and NAME.key; its own is authority.pem."""

    def __init__(self, folder: str, name: str = "authority"):
        self.folder, self.name = folder, name
        self.key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self.build(subject, subject, self.key.public_key(), 0, 30).add_extension(x509.BasicConstraints(True, None), True).sign(self.key, hashes.SHA256())
        self.file = self.write(f"{name}.pem", self.certificate.public_bytes(serialization.Encoding.PEM))

    @staticmethod
    def build(subject, issuer, public, since_days: float, until_days: float) -> x509.CertificateBuilder:
        """An unsigned certificate, valid from an hour before `since_days` to `until_days` from now."""
        now = dt.datetime.now(dt.timezone.utc)
        return (x509.CertificateBuilder().subject_name(subject).issuer_name(issuer).public_key(public).serial_number(x509.random_serial_number())
                .not_valid_before(now + dt.timedelta(days=since_days, hours=-1)).not_valid_after(now + dt.timedelta(days=until_days)))

    def write(self, name: str, data: bytes) -> str:
        """Writes a file into the folder; returns its path."""
        path = os.path.join(self.folder, name)
        with open(path, "wb") as stream:
            stream.write(data)
        return path

    def issue(self, name: str, host: str = "127.0.0.1", since_days: float = 0, until_days: float = 10) -> tuple[str, str, str]:
        """Issues a certificate for a name; returns the files of the certificate, its key and the authority."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        names = x509.SubjectAlternativeName([x509.DNSName(name), x509.IPAddress(ipaddress.ip_address(host))])
        signed = self.build(subject, self.certificate.subject, key.public_key(), since_days, until_days).add_extension(names, False).sign(self.key, hashes.SHA256())
        private = key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
        return self.write(f"{name}.pem", signed.public_bytes(serialization.Encoding.PEM)), self.write(f"{name}.key", private), self.file
